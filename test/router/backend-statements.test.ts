/** How routers act on the request limits and leaves that back ends state in their answers. */
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { REQUEST_HEADERS } from '../../src/backend-contract/grant-messages.js';
import { configurationSchema } from '../../src/config/configuration.js';
import { routerSettingsSchema } from '../../src/config/daemon-settings.js';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState } from '../../src/control/control-state.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { encodeForWatchers } from '../../src/control/state-snapshot.js';
import { BackendStatements } from '../../src/router/backend-statements.js';
import { RequestRouter } from '../../src/router/request-router.js';
import { RouterState } from '../../src/router/router-state.js';
import { nodeRuntime } from '../../src/runtime/node-runtime.js';
import type { BackendSignals } from '../../src/sidecar/backend-signals.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';

const SERVICE = 'stock';
const ROUTERS = ['router-1', 'router-2'];
const DEADLINE_MS = 400;
const OK = 200;
const UNAVAILABLE = 503;

interface Answer {
  readonly status: number;
  readonly code: string;
  readonly retryAfterMs: number;
}

/** Two routers before some back ends, which state in their answers what a test sets. */
class Deployment {
  /** Headers of the answers, by back end. */
  readonly headers = new Map<string, Record<string, string>>();
  /** Requests that reached each back end. */
  readonly arrivals = new Map<string, number>();
  readonly logged: string[] = [];
  private readonly state = emptyControlState();
  private index = 0;
  private readonly servers: Server[] = [];
  private readonly routers: { readonly state: RouterState; readonly port: number }[] = [];

  async start(names: readonly string[]): Promise<void> {
    const backends: Record<string, object> = {};
    for (const name of names) {
      const port = await this.listen((incoming, response) => {
        incoming.resume();
        this.arrivals.set(name, (this.arrivals.get(name) ?? 0) + 1);
        response.writeHead(OK, this.headers.get(name) ?? {});
        response.end('done');
      });
      backends[name] = { zone: 'zone', address: { host: '127.0.0.1', port } };
    }
    const service = { division: 'spread', shards: 1, slots: 16, connections: 64, backends };
    const document = configurationSchema.parse({ version: 1, services: { [SERVICE]: service } });
    this.apply({ kind: 'configure', submissionId: 'first', baseRevision: 0, document });
    for (const name of names) this.openSession(name);
    for (const name of ROUTERS) await this.startRouter(name);
  }

  /** Opens a new session of a back end, as after a restart. */
  openSession(backend: string): void {
    const agentAddress = { host: '127.0.0.1', port: 1 };
    const openId = `${backend}-${this.index}`;
    this.apply({ kind: 'open-session', service: SERVICE, backend, openId, agentAddress, wallMs: 0 });
  }

  async send(router: number): Promise<Answer> {
    const headers = { [REQUEST_HEADERS.deadline]: String(DEADLINE_MS) };
    const answer = await request(`http://127.0.0.1:${this.routers[router]?.port}/${SERVICE}/x`, { headers });
    const text = await answer.body.text();
    if (answer.statusCode === OK) return { status: OK, code: '', retryAfterMs: 0 };
    const { type, retryAfterMs } = JSON.parse(text) as { type: string; retryAfterMs: number };
    return { status: answer.statusCode, code: type.split(':').at(-1) ?? '', retryAfterMs };
  }

  async stop(): Promise<void> {
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    for (const { state } of this.routers) await state.backends.close();
  }

  private async startRouter(name: string): Promise<void> {
    const settings = routerSettingsSchema.parse({
      name,
      zone: 'zone',
      listen: { host: '127.0.0.1', port: 1 },
      control: [{ name: 'control', address: { host: '127.0.0.1', port: 1 } }],
      tokenFile: 'none',
      routers: ROUTERS.length,
    });
    const ports = { runtime: nodeRuntime, log: (event: string) => this.logged.push(event), send: () => true };
    const state = new RouterState(settings, () => undefined, ports);
    const router = new RequestRouter(state);
    const port = await this.listen((incoming, response) => void router.handle(incoming, response));
    this.routers.push({ state, port });
    this.publish();
  }

  private async listen(handle: Parameters<typeof createServer>[1]): Promise<number> {
    const server = createServer(handle as never);
    this.servers.push(server);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return (server.address() as AddressInfo).port;
  }

  private apply(command: ControlCommand): void {
    this.index += 1;
    applyCommand(this.state, command, this.index);
    this.publish();
  }

  private publish(): void {
    for (const { state } of this.routers) {
      state.table.replace(this.index, encodeForWatchers(this.state));
      state.tableChanged();
    }
  }
}

async function startDeployment(names: readonly string[]): Promise<Deployment> {
  const deployment = new Deployment();
  await deployment.start(names);
  return deployment;
}

test('requests over a named limit are refused at once with the time of a turn', async (t) => {
  const deployment = await startDeployment(['one']);
  t.teardown(async () => {
    await deployment.stop();
  });
  deployment.headers.set('one', { [DEFAULT_HEADER_DIALECT.requestLimit]: '0.1' });
  for (const router of [0, 1]) t.is((await deployment.send(router)).status, OK);
  for (const router of [0, 1, 0, 1]) {
    const answer = await deployment.send(router);
    t.like(answer, { status: UNAVAILABLE, code: 'rate-limited' });
    t.true(answer.retryAfterMs > DEADLINE_MS);
  }
  t.is(deployment.arrivals.get('one'), 2, 'one request of each router');
  t.deepEqual(deployment.logged, ['limit-named', 'limit-named']);
});

test('requests over a named limit go to back ends with room', async (t) => {
  const deployment = await startDeployment(['one', 'two']);
  t.teardown(async () => {
    await deployment.stop();
  });
  deployment.headers.set('one', { [DEFAULT_HEADER_DIALECT.requestLimit]: '0.1' });
  for (let sent = 0; sent < 40; sent += 1) t.is((await deployment.send(sent % 2)).status, OK);
  t.true((deployment.arrivals.get('one') ?? 0) <= 2);
});

test('a back end that states its leave gets no new requests while others are available', async (t) => {
  const deployment = await startDeployment(['one', 'two']);
  t.teardown(async () => {
    await deployment.stop();
  });
  deployment.headers.set('one', { [DEFAULT_HEADER_DIALECT.leaving]: '1' });
  for (let sent = 0; sent < 40; sent += 1) t.is((await deployment.send(sent % 2)).status, OK);
  t.true((deployment.arrivals.get('one') ?? 0) <= 2, 'at most one request of each router');
});

test('the next session of a back end is not bound by what the previous one stated', async (t) => {
  const deployment = await startDeployment(['one']);
  t.teardown(async () => {
    await deployment.stop();
  });
  deployment.headers.set('one', { [DEFAULT_HEADER_DIALECT.requestLimit]: '0' });
  await deployment.send(0);
  t.is((await deployment.send(0)).code, 'rate-limited');
  deployment.headers.delete('one');
  deployment.openSession('one');
  for (let sent = 0; sent < 4; sent += 1) t.is((await deployment.send(0)).status, OK);
});

function limited(requestsPerSecond: number): BackendSignals {
  return { limit: { kind: 'limited', requestsPerSecond }, leaving: false };
}

test('the shares of all routers add up to the limit', (t) => {
  let nowMs = 0;
  let sent = 0;
  const routers = Array.from(
    { length: 4 },
    () =>
      new BackendStatements(
        'one',
        () => nowMs,
        1 / 4,
        () => undefined,
      ),
  );
  for (const router of routers) router.recordAnswer(limited(8), router.recordSent());
  for (; nowMs < 20_000; nowMs += 5) {
    for (const router of routers) {
      if (router.delayMs(0) > 0) continue;
      router.recordAnswer(limited(8), router.recordSent());
      sent += 1;
    }
  }
  t.true(sent <= 8 * 20 + 4 && sent >= 8 * 20 * 0.9, `${sent} requests in 20 s`);
});

test('a back end that has stated its leave is closed before 2 s have passed', (t) => {
  let nowMs = 0;
  const statements = new BackendStatements(
    'one',
    () => nowMs,
    1,
    () => undefined,
  );
  statements.recordAnswer({ limit: { kind: 'none' }, leaving: true }, statements.recordSent());
  t.true(statements.leaving);
  t.false(statements.closed);
  nowMs = 1_600;
  t.true(statements.closed);
  statements.startSession();
  t.false(statements.leaving);
});
