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
    name: 'of 500 changes of 0.3 MB',
    entries: 500,
    routes: 352,
    sourceBytes: 560,
    snapshotRoutes: 0,
    chained: true,
  },
  {
    name: 'of 500 refused changes of 0.3 MB',
    entries: 500,
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

async function checkStart(
  t: ExecutionContext,
  folder: string,
  ports: object,
  operator: number,
  version: number,
): Promise<ReplicaProcess> {
  const directory = await ReplicaProcess.start(t, './directory-process.js', [JSON.stringify(ports), folder]);
  const isServed = await directory.waitUntil(
    async () => (await readDocument(operator, '/config'))?.version === version,
    START_TIMEOUT_MS,
  );
  t.false(directory.ended, 'the process has ended');
  t.true(isServed, 'the newest version is read back');
  return directory;
}

for (const log of LOGS) {
  test.serial(`a directory starts again from a log ${log.name}, within its memory`, async (t) => {
    const folder = temporaryFolder(t);
    const ports = { replica: await freePort(), operator: await freePort() };
    await createDataFolder(folder, `${HOST}:${ports.replica}`, stateBefore(log));
    appendCommands(folder, log.entries, (index) => changeAt(log, index));
    const version = log.chained ? log.entries : 1;
    const first = await checkStart(t, folder, ports, ports.operator, version);
    const isCompacted = await first.waitUntil(
      () => Promise.resolve(statSync(join(folder, 'log')).size < COMPACTED_BYTES),
      START_TIMEOUT_MS,
    );
    t.true(isCompacted, 'a snapshot replaces the log');
    const firstPeak = first.peakMib();
    await first.kill();
    const second = await checkStart(t, folder, ports, ports.operator, version);
    t.log(`peak ${Math.round(firstPeak)} MiB, then ${Math.round(second.peakMib())} MiB`);
    t.true(firstPeak < MEMORY_BOUND_MIB, `${firstPeak} MiB`);
    t.true(second.peakMib() < MEMORY_BOUND_MIB, `${second.peakMib()} MiB`);
  });
}
