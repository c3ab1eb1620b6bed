/**
 * An endpoint leaves, lets go of its keys, and its daemon reports that through a directory replica that has just frozen. The
 * daemon is killed; the one that starts in its place grants the keys again, under the same fence. The replica wakes, and
 * what it has held is taken as news of the release. Rule OWNER is watched over all endpoints of the service.
 */
import { attempt } from '../lib-2/client.mjs';
import { Endpoint, OwnerWatch } from '../lib-2/endpoint.mjs';
import { runCase } from '../lib-2/case.mjs';
import { LIMITS, pause, waitFor } from '../lib-2/fleet.mjs';

const MAX_BOTH_MS = 500;
/** Work of the one request that is sent, in ms. */
const WORK_MS = 2_700;
/** Time in ms after which the platform starts a killed process again. */
const RESTART_MS = 100;
/** Longest freeze in ms; the site file of the same customer freezes machines for longer. */
const MAX_FREEZE_MS = 1_900;
/** Machines that are added once the first configuration is in force; each follows the replica that its name picks. */
const ADDED = 4;
const rows = (held) => held.map(({ from, to, fence }) => `${from}-${to}@${fence}`).join(' ') || 'nothing';

/** The replica that a sidecar follows, by its log. */
function followedBy(fleet, sidecar) {
  const last = sidecar.events().findLast(({ event }) => event === 'directory-connected');
  const ip = last?.replica?.split(':')[0];
  return fleet.directories.find((daemon) => daemon.ip === ip);
}

async function main(context) {
  const { record, fleet, endpoints, cleanUps, trouble } = context;
  const sidecars = Array.from({ length: 2 + ADDED }, () => ({ service: 'saldo' }));
  await fleet.lay({ directories: 5, sidecars, tolerated: 1 });
  fleet.start(ADDED);
  const services = {
    saldo: {
      health_path: '/health',
      max_connections: 110,
      sharded: true,
      warm_s: 3,
      grants: 'heartbeat',
      version: 3,
    },
  };
  const routes = {
    'r-saldo': {
      host: 'saldo.example',
      path_prefix: '/saldo/',
      route_type: 'safe',
      timeout_s: 5,
      target_latency_s: 2.6,
      priority: 2,
      service: 'saldo',
      max_attempts: 2,
      version: 3,
    },
  };
  const configured = await fleet.order('PATCH', '/config', {
    upsert: { routes, services, limits: { ...LIMITS, version: 3 } },
    remove: { routes: [] },
  });
  record.add(`first configuration: ${configured.status}`);
  if (configured.status !== 200) return 2;

  for (const sidecar of fleet.sidecars.slice(-ADDED)) sidecar.start();
  await waitFor(() => fleet.sidecars.every((sidecar) => followedBy(fleet, sidecar) !== undefined), 5_000);
  for (const [at, sidecar] of fleet.sidecars.entries()) {
    const zone = sidecar.settings.zone;
    const common = { service: 'saldo', zone, ip: sidecar.ip, ports: fleet.ports, keyed: true };
    const endpoint = new Endpoint({ ...common, id: `i-${at + 1}`, slots: 18, workMs: WORK_MS });
    endpoints.push(endpoint);
    await endpoint.start();
    endpoint.beginHeartbeats();
  }
  const spread = await waitFor(() => endpoints.every(({ held }) => held.length > 0), 15_000);
  if (spread === undefined) return 2;
  for (const { id, held } of endpoints) record.add(`${id} holds ${rows(held)}`);
  await pause(3_000);
  const watch = new OwnerWatch(() => endpoints, record);
  cleanUps.push(() => watch.stop());

  // The machine whose daemon follows a replica that does not lead.
  const leader = fleet.leader();
  const at = fleet.sidecars.findIndex((sidecar) => {
    const followed = followedBy(fleet, sidecar);
    return followed !== undefined && followed !== leader;
  });
  if (at < 0) return 2;
  const sidecar = fleet.sidecars[at];
  const leaving = endpoints[at];
  const replica = followedBy(fleet, sidecar);
  record.add(
    `${leader?.name} leads; ${leaving.id} leaves; its daemon ${sidecar.name} follows ${replica.name}`,
  );

  // A request that the endpoint still works on when it lets go of the rest; until it has ended, the endpoint beats again
  // within 100 ms.
  const workedOn = leaving.held[0].from;
  leaving.state = 'draining';
  leaving.beginHeartbeats();
  await pause(1_200);
  const host = 'saldo.example';
  void attempt(sidecar, fleet.ports, { host, path: '/saldo/long', key: workedOn, deadlineMs: 5_000 });
  await waitFor(() => leaving.running > 0, 300, 5);
  record.add(`${leaving.id} works on ${leaving.running} request of key ${workedOn}`);
  const omitted = await new Promise((done) => {
    const timer = setTimeout(() => done(false), 12_000);
    leaving.onAnswer = (answer) => {
      if (answer.holds === undefined || answer.holds.length > 0) return;
      clearTimeout(timer);
      leaving.onAnswer = () => undefined;
      if (trouble) replica.signal('SIGSTOP');
      done(true);
    };
  });
  if (!omitted) return 2;
  const frozenMs = performance.now();
  record.add(`the answer to ${leaving.id} leaves its keys out${trouble ? `; ${replica.name} freezes` : ''}`);

  if (trouble) {
    const before = sidecar.events().filter(({ event }) => event === 'range-released').length;
    const reported = await waitFor(
      () => sidecar.events().filter(({ event }) => event === 'range-released').length > before,
      800,
      5,
    );
    record.add(`${sidecar.name} reports the release: ${reported === true ? 'yes' : 'no'}`);
    await pause(50);
    await sidecar.kill();
    record.add(`${sidecar.name} is killed`);
    await pause(RESTART_MS);
    sidecar.start();
    record.add(`${sidecar.name} is started again`);
    const granted = await waitFor(
      () => leaving.held.length > 0,
      MAX_FREEZE_MS - (performance.now() - frozenMs),
      5,
    );
    record.add(
      `${leaving.id} holds ${rows(leaving.held)}${granted === undefined ? ' (no grant in time)' : ''}`,
    );
    replica.signal('SIGCONT');
    record.add(`${replica.name} wakes after ${Math.round(performance.now() - frozenMs)} ms`);
  }
  await pause(8_000);
  for (const { id, held } of endpoints) record.add(`at the end ${id} holds ${rows(held)}`);
  record.add(`longest time with two holders: ${Math.round(watch.longestMs)} ms: ${watch.longest}`);
  return watch.longestMs > MAX_BOTH_MS ? 1 : 0;
}

await runCase(import.meta.dirname, main);
