/**
 * Replicas that start from a log, or a snapshot, that is large against the heap. A process that ended because its log had
 * outgrown the heap read the same log at its next start and ended again, so that a group did not come back.
 */
import { statSync } from 'node:fs';
import { join } from 'node:path';
import test, { type ExecutionContext } from 'ava';
import { HOST } from '../fuzz/loopback-daemons.js';
import { freePort } from '../loopback.js';
import {
  appendCommands,
  createDataFolder,
  MEMORY_BOUND_MIB,
  readDocument,
  ReplicaProcess,
  temporaryFolder,
} from './large-logs.js';

const MIB = 1024 * 1024;
const START_TIMEOUT_MS = 60_000;

/** Size in bytes to which a snapshot must have reduced the log. */
const COMPACTED_BYTES = 12 * MIB;

const SERVICE = {
  kind: 'service',
  name: 's',
  version: 1,
  source: '{"max_connections":10,"sharded":false,"version":1}',
  definition: { maxConnections: 10, keyed: false, grantMode: null, coldStart: null, healthPath: null },
};

function route(name: string, version: number, sourceBytes: number): object {
  const definition = {
    host: 'h.example',
    pathPrefix: `/${name}/`,
    kind: 'safe',
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    maxAttempts: 2,
    destinations: [{ service: 's', weight: 1 }],
  };
  const source = JSON.stringify({ note: 'x'.repeat(sourceBytes) });
  return { kind: 'route', name, version, source, definition };
}

function routes(count: number, version: number, sourceBytes: number): object[] {
  return Array.from({ length: count }, (_, at) => route(`r${at}`, version, sourceBytes));
}

interface LargeLog {
  readonly name: string;
  readonly entries: number;
  readonly routes: number;
  readonly sourceBytes: number;
  /** Number of routes in the snapshot before the log. */
  readonly snapshotRoutes: number;
  /** Whether each change is made on the version before it; otherwise all but the first are refused. */
  readonly chained: boolean;
}

const LOGS: readonly LargeLog[] = [
  {
    name: 'of 600 changes of 0.3 MB',
    entries: 600,
    routes: 352,
    sourceBytes: 560,
    snapshotRoutes: 0,
    chained: true,
  },
  {
    name: 'of 600 refused changes of 0.3 MB',
    entries: 600,
    routes: 352,
    sourceBytes: 560,
    snapshotRoutes: 0,
    chained: false,
  },
  {
    name: 'of 60 changes of 3 MB',
    entries: 60,
    routes: 12,
    sourceBytes: 250_000,
    snapshotRoutes: 0,
    chained: true,
  },
  {
    name: 'of 20,000 changes of 8 KB',
    entries: 20_000,
    routes: 9,
    sourceBytes: 560,
    snapshotRoutes: 0,
    chained: true,
  },
  {
    name: 'of 200 changes of 0.3 MB behind a state of 8 MB',
    entries: 200,
    routes: 352,
    sourceBytes: 560,
    snapshotRoutes: 9_000,
    chained: true,
  },
];

function changeAt(log: LargeLog, index: number): object {
  const items = [SERVICE, ...routes(log.routes, index, log.sourceBytes)];
  const base = log.chained ? index - 1 : 0;
  return { kind: 'configure-revision', base, version: index, digest: `d${index}`, replacesAll: false, items };
}

function stateBefore(log: LargeLog): object | null {
  if (log.snapshotRoutes === 0) return null;
  const items = [SERVICE, ...routes(log.snapshotRoutes, 0, log.sourceBytes)];
  return { items, revision: 0, configured: true, accepted: [], instances: [], ranges: [] };
}

/** A kind of replica, and how it is started and read. */
interface ReplicaKind {
  readonly script: string;
  readonly args: readonly string[];
  readonly folder: string;
  /** Returns the newest version in force; null while none is served. */
  readVersion(): Promise<unknown>;
}

async function startAndRead(
  t: ExecutionContext,
  kind: ReplicaKind,
  version: number,
): Promise<ReplicaProcess> {
  const replica = await ReplicaProcess.start(t, kind.script, kind.args);
  const isServed = await replica.waitUntil(
    async () => (await kind.readVersion()) === version,
    START_TIMEOUT_MS,
  );
  t.false(replica.ended, 'the process has ended');
  t.true(isServed, 'the newest version is read back');
  return replica;
}

/** Starts a replica from its folder, kills it once a snapshot has replaced the log, and starts it again. */
async function checkStarts(t: ExecutionContext, kind: ReplicaKind, version: number): Promise<void> {
  const first = await startAndRead(t, kind, version);
  const isCompacted = await first.waitUntil(
    () => Promise.resolve(statSync(join(kind.folder, 'log')).size < COMPACTED_BYTES),
    START_TIMEOUT_MS,
  );
  const firstPeak = first.peakMib();
  t.log(`peak ${Math.round(firstPeak)} MiB`);
  t.true(isCompacted, 'a snapshot replaces the log');
  t.true(firstPeak < MEMORY_BOUND_MIB, `${firstPeak} MiB`);
  await first.kill();
  const second = await startAndRead(t, kind, version);
  t.log(`peak ${Math.round(second.peakMib())} MiB at the next start`);
  t.true(second.peakMib() < MEMORY_BOUND_MIB, `${second.peakMib()} MiB`);
}

for (const log of LOGS) {
  test.serial(`a directory starts again from a log ${log.name}, within its memory`, async (t) => {
    const folder = temporaryFolder(t);
    const ports = { replica: await freePort(), operator: await freePort() };
    await createDataFolder(folder, `${HOST}:${ports.replica}`, stateBefore(log));
    appendCommands(folder, log.entries, (index) => changeAt(log, index));
    const version = log.chained ? log.entries : 1;
    const kind = {
      script: './directory-process.js',
      args: [JSON.stringify(ports), folder],
      folder,
      readVersion: async () => (await readDocument(ports.operator, '/config'))?.version,
    };
    await checkStarts(t, kind, version);
  });
}

const TOKEN = 'token-of-the-control-tests';

function service(port: number, revision: number): object {
  const backends = { [`b${port}`]: { zone: 'z', address: { host: '10.0.0.1', port } } };
  const endpoints = Array.from({ length: 100 }, (_, at) => ({
    method: 'GET',
    path: `/${revision}/${at}/${'p'.repeat(200)}`,
    repeatable: true,
  }));
  const times = { deadlineMs: 2_000, repeatHorizonMs: 30_000 };
  const placement = { toleratedImbalance: 1.1, maxMovesPerMinute: 60 };
  return {
    division: 'spread',
    shards: 1,
    slots: 6,
    connections: 20,
    ...times,
    endpoints,
    placement,
    backends,
  };
}

function documentOf(revision: number): object {
  const services = Array.from({ length: 12 }, (_, at) => [`s${at}`, service(at + 1, revision)] as const);
  return { version: 1, services: Object.fromEntries(services) };
}

const CONTROL_LOGS = [
  ['changes of 0.3 MB', true],
  ['refused changes of 0.3 MB', false],
] as const;

for (const [name, chained] of CONTROL_LOGS) {
  test.serial(`a control replica starts again from a log of 500 ${name}, within its memory`, async (t) => {
    const folder = temporaryFolder(t);
    const ports = { listen: await freePort(), operator: await freePort() };
    await createDataFolder(folder, 'control', null);
    appendCommands(folder, 500, (index) => ({
      kind: 'configure',
      submissionId: `change-${index}`,
      baseRevision: chained ? index - 1 : 0,
      document: documentOf(index),
    }));
    const headers = { authorization: `Bearer ${TOKEN}` };
    const kind = {
      script: './control-process.js',
      args: [JSON.stringify(ports), folder, TOKEN],
      folder,
      readVersion: async () => (await readDocument(ports.operator, '/v1/configuration', headers))?.revision,
    };
    await checkStarts(t, kind, chained ? 500 : 1);
  });
}
