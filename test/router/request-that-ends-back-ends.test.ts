/**
 * Two routers share four back ends. A request crashes every back end that runs it and is retried by its caller at
 * either router. Without crash records shared through control, each submission ends up to three back ends because of
 * the routers' own retries: 30 for the 12 submissions of this test.
 */
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import test from 'ava';
import { request } from 'undici';
import { configurationSchema } from '../../src/config/configuration.js';
import { routerSettingsSchema } from '../../src/config/daemon-settings.js';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState } from '../../src/control/control-state.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { encodeForWatchers } from '../../src/control/state-snapshot.js';
import { answerRunRequest } from '../../src/quarantine/crash-messages.js';
import { requestFingerprint } from '../../src/quarantine/request-fingerprint.js';
import { RequestRouter } from '../../src/router/request-router.js';
import { RouterState } from '../../src/router/router-state.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';

const SERVICE = 'stock';
const BACKENDS = ['one', 'two', 'three', 'four'];
const CRASHING_PATH = `/${SERVICE}/guilty`;
const HARMLESS_PATH = `/${SERVICE}/innocent`;
const HELD_PATH = `/${SERVICE}/held`;
const SUBMISSIONS = 12;
const AMPLE_SLOTS = 8;
/** One slot of each back end for each of the routers. */
const SCARCE_SLOTS = 2;
const POLL_INTERVAL_MS = 10;
const QUARANTINED_STATUS = 400;

/** Deployment in which routers and control call each other directly, without a network. */
class Deployment {
  ends = 0;
  readonly crashingRuns: string[] = [];
  readonly routers: { readonly state: RouterState; readonly server: Server }[] = [];
  private readonly held: ServerResponse[] = [];
  private readonly state = emptyControlState();
  private index = 0;
  private readonly servers = new Map<string, Server>();
  private readonly ports = new Map<string, number>();

  constructor(
    private readonly backends: readonly string[],
    private readonly slots: number,
  ) {}

  async start(): Promise<void> {
    for (const name of this.backends) await this.startBackend(name);
    const backends = Object.fromEntries(
      this.backends.map((name) => [
        name,
        { zone: 'zone', address: { host: '127.0.0.1', port: this.ports.get(name) } },
      ]),
    );
    const service = { division: 'spread', shards: 1, slots: this.slots, connections: 64, backends };
    const document = configurationSchema.parse({ version: 1, services: { [SERVICE]: service } });
    this.apply({ kind: 'configure', submissionId: 'first', baseRevision: 0, document });
    for (const name of this.backends) this.openSession(name);
    for (const name of ['router-1', 'router-2']) await this.startRouter(name);
  }

  async send(router: number, path: string): Promise<number> {
    const { port } = this.routers[router]?.server.address() as AddressInfo;
    const answer = await request(`http://127.0.0.1:${port}${path}`);
    await answer.body.dump();
    return answer.statusCode;
  }

  /** Number of requests that back ends hold without an answer. */
  get heldCount(): number {
    return this.held.length;
  }

  /** Number of requests that wait for a slot at a router. */
  queuedAt(router: number): number {
    const states = [...(this.routers[router]?.state.backends.entries() ?? [])];
    return states.reduce((sum, [, { limiter }]) => sum + limiter.queued, 0);
  }

  /** Makes the back ends answer the requests that they hold. */
  answerHeld(): void {
    for (const response of this.held.splice(0)) response.end('done');
  }

  /** Records at control that three other back ends have ended while running only this request. */
  recordEnds(): void {
    const identified = {
      method: 'GET',
      host: null,
      path: CRASHING_PATH,
      headers: [],
      key: null,
      body: Buffer.alloc(0),
    };
    const runs = [{ fingerprint: requestFingerprint(identified), alone: true }];
    for (const life of ['a', 'b', 'c'])
      this.apply({ kind: 'record-end', life, service: SERVICE, version: '', runs });
  }

  /** Restarts the back ends that have ended, each with a new session. */
  async restartBackends(): Promise<void> {
    for (const name of this.backends) {
      if (this.servers.has(name)) continue;
      await this.startBackend(name);
      this.openSession(name);
    }
  }

  async stop(): Promise<void> {
    for (const server of this.servers.values()) closeServer(server);
    for (const { server, state } of this.routers) {
      closeServer(server);
      await state.backends.close();
    }
  }

  private async startBackend(name: string): Promise<void> {
    const server = createServer((incoming, response) => {
      if (incoming.url === HELD_PATH) {
        this.held.push(response);
        return;
      }
      if (incoming.url !== CRASHING_PATH) {
        response.end('done');
        return;
      }
      this.crashingRuns.push(name);
      this.ends += 1;
      this.servers.delete(name);
      closeServer(server);
    });
    const port = this.ports.get(name) ?? 0;
    await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
    this.ports.set(name, (server.address() as AddressInfo).port);
    this.servers.set(name, server);
  }

  private openSession(backend: string): void {
    const agentAddress = { host: '127.0.0.1', port: 1 };
    const openId = `${backend}-${this.index}`;
    this.apply({ kind: 'open-session', service: SERVICE, backend, openId, agentAddress, wallMs: 0 });
  }

  private async startRouter(name: string): Promise<void> {
    const settings = routerSettingsSchema.parse({
      name,
      zone: 'zone',
      listen: { host: '127.0.0.1', port: 1 },
      control: [{ name: 'control', address: { host: '127.0.0.1', port: 1 } }],
      tokenFile: 'none',
      routers: 2,
    });
    const state: RouterState = new RouterState(settings, () => undefined, {
      runtime: nodeRuntime,
      log: () => undefined,
      send: (sent) => {
        const ports = {
          records: () => this.state.crashRecords,
          propose: async (command: ControlCommand) => await Promise.resolve(this.apply(command)),
        };
        void answerRunRequest(sent, ports, (notice) => {
          state.guard.receive(notice);
        });
        return true;
      },
    });
    const router = new RequestRouter(state);
    const server = createServer((incoming, response) => void router.handle(incoming, response));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this.routers.push({ state, server });
    this.publish();
  }

  private apply(command: ControlCommand): boolean {
    this.index += 1;
    const { outcome } = applyCommand(this.state, command, this.index);
    this.publish();
    return outcome.kind === 'done';
  }

  private publish(): void {
    for (const { state } of this.routers) {
      state.table.replace(this.index, encodeForWatchers(this.state));
      state.tableChanged();
    }
  }
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

test('a request that crashes back ends is sent to at most three over both routers; others are served', async (t) => {
  const deployment = new Deployment(BACKENDS, AMPLE_SLOTS);
  t.teardown(async () => {
    await deployment.stop();
  });
  await deployment.start();
  const statuses: number[] = [];
  for (let submission = 0; submission < SUBMISSIONS; submission += 1) {
    statuses.push(await deployment.send(submission % 2, CRASHING_PATH));
    await deployment.restartBackends();
    t.is(await deployment.send(submission % 2, HARMLESS_PATH), 200);
  }
  t.true(deployment.ends <= 3, `${deployment.ends} back ends have ended`);
  t.is(statuses.at(-1), QUARANTINED_STATUS);
  t.is(statuses.at(-2), QUARANTINED_STATUS);
});

test('a request that is quarantined while it waits for a slot is not run', async (t) => {
  const deployment = new Deployment(BACKENDS.slice(0, 1), SCARCE_SLOTS);
  t.teardown(async () => {
    await deployment.stop();
  });
  await deployment.start();
  const held = deployment.send(0, HELD_PATH);
  while (deployment.heldCount === 0) await delay(POLL_INTERVAL_MS);
  const waiting = deployment.send(0, CRASHING_PATH);
  while (deployment.queuedAt(0) === 0) await delay(POLL_INTERVAL_MS);
  deployment.recordEnds();
  deployment.answerHeld();
  t.is(await held, 200);
  t.is(await waiting, QUARANTINED_STATUS);
  t.deepEqual(deployment.crashingRuns, []);
});
