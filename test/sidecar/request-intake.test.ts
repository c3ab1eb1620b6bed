/** Calls among the requests that arrive at a sidecar. */
import test from 'ava';
import { DEFAULT_HEADER_DIALECT as DIALECT } from '../../src/sidecar/header-dialect.js';
import type { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { RunningRequests } from '../../src/sidecar/nested-calls.js';
import { RequestIntake } from '../../src/sidecar/request-intake.js';
import { Route } from '../../src/sidecar/route-table.js';
import { ManualTime } from './manual-runtime.js';

const TIMEOUT_MS = 628;

class World {
  readonly time = new ManualTime();
  readonly running = new RunningRequests();
  private readonly route = new Route('read', {
    host: 'h',
    pathPrefix: '/',
    kind: 'safe',
    timeoutMs: TIMEOUT_MS,
    targetLatencyMs: 262,
    priority: 5,
    maxAttempts: 2,
    destinations: [{ service: 'registry', weight: 1 }],
  });
  private readonly intake = new RequestIntake({
    runtime: this.time.runtime,
    table: {
      configured: true,
      routes: { find: () => this.route },
      service: () => null,
    } as unknown as DirectoryTable,
    dialect: DIALECT,
    service: 'ordering',
    tableIsCurrent: () => true,
    findParent: (arrived) => this.running.findParent(arrived, this.time.nowMs),
  });

  receive(headers: readonly string[]) {
    return this.intake.prepare({ method: 'GET', path: '/', host: 'h', headers, body: Buffer.alloc(0) });
  }

  prepare(requestId: string, deadlineMs: number) {
    const prepared = this.receive([DIALECT.requestId, requestId, DIALECT.deadlineMs, String(deadlineMs)]);
    if ('statusCode' in prepared) throw new Error(prepared.reason);
    return prepared;
  }
}

test('a call has its parent and no spent time, however much of the deadline its parent has used', (t) => {
  const world = new World();
  for (let caller = 0; caller < 30; caller += 1) world.prepare(`caller${caller}`, TIMEOUT_MS);
  const parent = {
    requestId: 'p',
    route: 'order',
    priority: 0,
    deadlineMs: world.time.nowMs + 300,
    isCall: false,
  };
  world.running.begin(parent);
  t.like(world.prepare('p.1', 300), { parent: { request: parent, criterion: 'id' }, spentMs: 0 });
  const retry = world.prepare('caller', 400);
  t.is(retry.parent, null);
  t.true(retry.spentMs > 0, 'a retry of a caller is still recognized');
});

test('a daemon that has restarted knows no parents, and serves calls as new work', (t) => {
  t.is(new World().prepare('p.1', 300).parent, null);
});

// Its answer carries no id either, so the request waited for it until its deadline.
test('a request without an id is rejected at once', (t) => {
  for (const headers of [[], [DIALECT.requestId, '']]) {
    t.like(new World().receive([...headers, DIALECT.deadlineMs, '300']), { statusCode: 400 });
  }
});
