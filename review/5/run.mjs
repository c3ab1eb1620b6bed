/**
 * A heartbeat that a cut has held up arrives after its sender has crashed, and after another incarnation has registered at
 * the same address. Rule OWNER is watched over all endpoints of the service.
 */
import { Agent } from 'node:http';
import { createServer, connect } from 'node:net';
import { attempt } from '../lib-2/client.mjs';
import { Endpoint, OwnerWatch } from '../lib-2/endpoint.mjs';
import { runCase } from '../lib-2/case.mjs';
import { LIMITS, pause, waitFor } from '../lib-2/fleet.mjs';

const MAX_BOTH_MS = 500;
/** Work of a request in ms, and slots of an endpoint. */
const WORK_MS = 840;
const SLOTS = 6;

/** The cut between an endpoint and the control address of its machine: holds what is sent until it is healed. */
async function startCut(ip, target, record) {
  const held = [];
  const server = createServer((socket) => {
    const chunks = [];
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    held.push(chunks);
  });
  const port = await new Promise((done) => server.listen(0, ip, () => done(server.address().port)));
  return {
    port,
    held,
    close: () => server.close(),
    heal: () => {
      for (const chunks of held.splice(0)) {
        const out = connect({ host: target.host, port: target.port });
        out.on('error', () => undefined);
        out.on('data', (bytes) => record.add(`the daemon answers it: ${String(bytes).split('\r\n')[0]}`));
        out.write(Buffer.concat(chunks));
      }
    },
  };
}

function addEndpoint({ fleet, endpoints, record }, id, machine) {
  const sidecar = fleet.sidecars[machine];
  const zone = sidecar.settings.zone;
  const common = { id, service: 'saldo', zone, ip: sidecar.ip, ports: fleet.ports, keyed: true };
  const onRun = (requestId, endpoint, key) => record.add(`run ${requestId} key ${key} at ${endpoint.id}`);
  const endpoint = new Endpoint({ ...common, slots: SLOTS, workMs: WORK_MS, onRun });
  endpoints.push(endpoint);
  return endpoint;
}

/** One client at a machine: a request after the other, on keys that one endpoint holds. */
async function runClient(context, sidecar, endpoint, number) {
  const { fleet, record } = context;
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  while (!context.stopping) {
    const ranges = endpoint.currentHolds();
    const range = ranges[number % Math.max(1, ranges.length)];
    if (range === undefined) {
      await pause(50);
      continue;
    }
    const key = range.from + (number % (range.to - range.from + 1));
    const options = { host: 'saldo.example', path: `/saldo/${number}`, key, deadlineMs: 5_000, agent };
    const answer = await attempt(sidecar, fleet.ports, options);
    record.add(`client ${number} key ${key}: ${answer.requestId} status ${answer.status} ${answer.ms} ms`);
    if (answer.status !== 200) await pause(200);
  }
  agent.destroy();
}

async function main(context) {
  const { record, fleet, endpoints, cleanUps, trouble } = context;
  await fleet.lay({ directories: 3, sidecars: Array.from({ length: 5 }, () => ({ service: 'saldo' })) });
  fleet.start();
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

  // Machine 1: an endpoint starts behind the cut, sends its first heartbeat, crashes, and the next one starts.
  const first = fleet.sidecars[0];
  const target = { host: first.ip, port: fleet.ports.control };
  const proxy = await startCut(first.ip, target, record);
  cleanUps.push(() => proxy.close());
  const old = addEndpoint(context, 'i-old', 0);
  old.ports = { ...fleet.ports, control: proxy.port };
  await old.start();
  if (trouble) {
    old.beginHeartbeats();
    await waitFor(() => proxy.held.some((chunks) => chunks.length > 0), 1_000, 5);
    record.add('the first heartbeat of i-old is held up by the cut');
  }
  const heldSinceMs = performance.now();
  await pause(300);
  await old.crash();
  record.add('i-old has crashed');

  const present = addEndpoint(context, 'i-new', 0);
  await present.start();
  const others = ['i-two', 'i-three', 'i-four', 'i-five'].map((id, at) => addEndpoint(context, id, at + 1));
  for (const endpoint of others) await endpoint.start();
  for (const endpoint of [present, ...others]) endpoint.beginHeartbeats();
  const spread = await waitFor(() => [present, ...others].every(({ held }) => held.length > 0), 15_000);
  if (spread === undefined) return 2;
  for (const { id, held } of [present, ...others])
    record.add(`${id} holds ${held.map(({ from, to, fence }) => `${from}-${to}@${fence}`).join(' ')}`);
  const watch = new OwnerWatch(() => endpoints, record);
  cleanUps.push(() => watch.stop());

  // As many clients as the endpoint has slots: each sends its next request when it has the answer to the last one.
  const clients = Array.from({ length: SLOTS }, (_, number) =>
    runClient(context, fleet.sidecars[0], present, number),
  );
  await pause(3_000);

  // One heartbeat of the present incarnation comes a second late, too; the old one arrives while all slots are in use.
  let lastBeatMs = 0;
  const send = present.send.bind(present);
  present.send = async (...call) => {
    lastBeatMs = performance.now();
    return await send(...call);
  };
  present.nextBeatMs = (ms) => (lastBeatMs > 0 ? ms + 1_000 : ms);
  const isDue = await waitFor(
    () => {
      const nowMs = performance.now();
      const sinceBeatMs = lastBeatMs > 0 ? nowMs - lastBeatMs : 0;
      const young = present.startedMs.filter((ms) => nowMs - ms < 430).length;
      return sinceBeatMs > 1_600 && sinceBeatMs < 2_300 && young === SLOTS && present.running === SLOTS;
    },
    40_000,
    5,
  );
  if (isDue === undefined) return 2;
  if (trouble) {
    record.add(`the heartbeat of i-old arrives, ${Math.round(performance.now() - heldSinceMs)} ms late`);
    proxy.heal();
  }
  present.nextBeatMs = undefined;
  await pause(12_000);
  context.stopping = true;
  await Promise.all(clients);
  for (const { id, held } of [present, ...others])
    record.add(
      `at the end ${id} holds ${held.map(({ from, to, fence }) => `${from}-${to}@${fence}`).join(' ')}`,
    );
  const since = performance.now() - 6_000;
  record.add(`runs at i-new in the last 6 s: ${[...present.startedMs].filter((ms) => ms > since).length}`);
  record.add(`longest time with two holders: ${Math.round(watch.longestMs)} ms: ${watch.longest}`);
  return watch.longestMs > MAX_BOTH_MS ? 1 : 0;
}

await runCase(import.meta.dirname, main);
