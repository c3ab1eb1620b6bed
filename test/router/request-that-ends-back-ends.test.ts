/**
 * Two routers share four back ends. A request ends every back end that begins to run it and comes again, at either router;
 * before routers knew of it by way of control, each coming ended up to three back ends, with the routers' own repeats: 30 for
 * the 12 comings of this test.
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
const GUILTY = `/${SERVICE}/guilty`;
const INNOCENT = `/${SERVICE}/innocent`;
const HELD = `/${SERVICE}/held`;
const COMINGS = 12;
const ROOMY_SLOTS = 8;
/** One slot of each back end for each of the routers. */
const TIGHT_SLOTS = 2;
const LOOK_MS = 10;
const FINAL_STATUS = 400;

/** A deployment without its network between routers and control. */
class Deployment {
  ends = 0;
  readonly guiltyRuns: string[] = [];
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

  /** Requests that back ends keep without an answer. */
  get heldCount(): number {
    return this.held.length;
  }

  /** Requests that wait for a slot at a router. */
  queuedAt(router: number): number {
    const states = [...(this.routers[router]?.state.backends.entries() ?? [])];
    return states.reduce((sum, [, { limiter }]) => sum + limiter.queued, 0);
  }

  /** Back ends answer what they have kept. */
  answerHeld(): void {
    for (const response of this.held.splice(0)) response.end('done');
  }

  /** Control learns from elsewhere that three back ends have ended under the request, each of them alone with it. */
  recordEnds(): void {
    const identified = {
      method: 'GET',
      host: null,
      path: GUILTY,
      headers: [],
      key: null,
      body: Buffer.alloc(0),
    };
    const runs = [{ fingerprint: requestFingerprint(identified), alone: true }];
    for (const life of ['a', 'b', 'c'])
      this.apply({ kind: 'record-end', life, service: SERVICE, version: '', runs });
  }

  /** Back ends that have ended are started again, each with a new session. */
  async repair(): Promise<void> {
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
      if (incoming.url === HELD) {
        this.held.push(response);
        return;
      }
      if (incoming.url !== GUILTY) {
        response.end('done');
        return;
      }
      this.guiltyRuns.push(name);
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

test('a request that ends every back end is sent to three, whichever router it comes to; others are served', async (t) => {
  const deployment = new Deployment(BACKENDS, ROOMY_SLOTS);
  t.teardown(async () => {
    await deployment.stop();
  });
  await deployment.start();
  const statuses: number[] = [];
  for (let coming = 0; coming < COMINGS; coming += 1) {
    statuses.push(await deployment.send(coming % 2, GUILTY));
    await deployment.repair();
    t.is(await deployment.send(coming % 2, INNOCENT), 200);
  }
  t.true(deployment.ends <= 3, `${deployment.ends} back ends have ended`);
  t.is(statuses.at(-1), FINAL_STATUS);
  t.is(statuses.at(-2), FINAL_STATUS);
});

test('a request that is proved to end back ends while it waits for a slot is not run', async (t) => {
  const deployment = new Deployment(BACKENDS.slice(0, 1), TIGHT_SLOTS);
  t.teardown(async () => {
    await deployment.stop();
  });
  await deployment.start();
  const held = deployment.send(0, HELD);
  while (deployment.heldCount === 0) await delay(LOOK_MS);
  const waiting = deployment.send(0, GUILTY);
  while (deployment.queuedAt(0) === 0) await delay(LOOK_MS);
  deployment.recordEnds();
  deployment.answerHeld();
  t.is(await held, 200);
  t.is(await waiting, FINAL_STATUS);
  t.deepEqual(deployment.guiltyRuns, []);
});
