/**
 * Measures what one more session renewal, shard, configuration change and log entry cost, on the code that runs:
 * bytes on the wire or disk, and processor time, each at several sizes.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { cpuUsage } from 'node:process';
import { configurationSchema } from '../../src/config/configuration.js';
import type { LogEntry } from '../../src/consensus/raft-types.js';
import { WatchedTable } from '../../src/control-client/watched-table.js';
import { applyCommand } from '../../src/control/state-machine.js';
import { emptyControlState, type ControlState } from '../../src/control/control-state.js';
import { daemonRequestSchema } from '../../src/control/daemon-messages.js';
import { ServiceShards } from '../../src/control/service-shards.js';
import { encodeState } from '../../src/control/state-snapshot.js';
import { encodeChanges } from '../../src/control/wire-changes.js';
import { emptyShardRow } from '../../src/model/shard.js';
import { planPlacement } from '../../src/placement/planner.js';
import { ReplicaStorage } from '../../src/storage/replica-storage.js';
import { encodeFrame, parsePayload } from '../../src/transport/frame-codec.js';
import { fitSlope, median, type Slope, type SlopePoint } from './slope.js';

const ROUNDS = 7;
const HEADER_BYTES = 4;

/** One measured cost. */
export interface MeasuredSlope {
  readonly what: string;
  readonly unit: string;
  readonly per: string;
  readonly slope: Slope;
}

/** Measures everything. */
export async function measureSlopes(): Promise<MeasuredSlope[]> {
  return [
    ...measureTable(),
    ...measureRenewal(),
    ...measureConfiguration(),
    ...measurePlan(),
    ...(await measureLog()),
  ];
}

/** Processor time of `run` in microseconds: the middle of several rounds. */
function cpuMicroseconds(run: () => void): number {
  const rounds = Array.from({ length: ROUNDS }, () => {
    const before = cpuUsage();
    run();
    const { user, system } = cpuUsage(before);
    return user + system;
  });
  return median(rounds);
}

function measured(what: string, unit: string, per: string, points: readonly SlopePoint[]): MeasuredSlope {
  return { what, unit, per, slope: fitSlope(points) };
}

function stateOf(shards: number, backends: number): ControlState {
  const state = emptyControlState();
  for (let at = 0; at < backends; at += 1) {
    const session = {
      id: 1_000 + at,
      backend: `backend-${at}`,
      service: 'service-1',
      openId: `00000000-0000-4000-8000-${String(at).padStart(12, '0')}`,
      agentAddress: { host: '10.20.30.40', port: 7_400 },
    };
    state.sessions.set(session.id, session);
  }
  const rows = Array.from({ length: shards }, (_, shard) => ({
    ...emptyShardRow(shard),
    epoch: 3,
    owner: `backend-${shard % backends}`,
    session: 1_000 + (shard % backends),
    freshAfterMs: 1_800_000_000_000,
  }));
  state.shards.set('service-1', new ServiceShards(rows));
  return state;
}

function measureTable(): MeasuredSlope[] {
  const sizes = [15_000, 30_000, 60_000, 120_000];
  const bytes: SlopePoint[] = [];
  const encode: SlopePoint[] = [];
  const take: SlopePoint[] = [];
  for (const size of sizes) {
    const state = stateOf(size, 500);
    const frame = encodeFrame({ kind: 'table', index: 1, table: encodeState(state) });
    bytes.push({ size, value: frame.length });
    encode.push({
      size,
      value: cpuMicroseconds(() => encodeFrame({ kind: 'table', index: 1, table: encodeState(state) })),
    });
    const payload = frame.subarray(HEADER_BYTES);
    take.push({ size, value: cpuMicroseconds(() => void takeTable(payload)) });
  }
  return [
    measured('whole table on the wire', 'bytes', 'shard', bytes),
    measured('encoding a whole table, once for all routers', 'us of processor', 'shard', encode),
    measured('taking a whole table at a router', 'us of processor', 'shard', take),
  ];
}

function takeTable(payload: Buffer): WatchedTable {
  const table = new WatchedTable();
  const notice = parsePayload(payload).unwrap() as { index: number; table: ReturnType<typeof encodeState> };
  table.replace(notice.index, notice.table);
  return table;
}

/** What control does with renewals that carry load of so many shards. */
function measureRenewal(): MeasuredSlope[] {
  const bytes: SlopePoint[] = [];
  const receive: SlopePoint[] = [];
  for (const size of [0, 8, 16, 32]) {
    const load = Array.from({ length: size }, (_, at) => [10_000 + at * 17, 83.3 + at]);
    const frame = encodeFrame({ kind: 'renew-session', session: 123_456, sentMs: 123_456_789.123, load });
    bytes.push({ size, value: frame.length });
    const repeats = 2_000;
    const value = cpuMicroseconds(() => {
      for (let repeat = 0; repeat < repeats; repeat += 1) {
        const parsed = parsePayload(frame.subarray(HEADER_BYTES));
        if (parsed.ok) daemonRequestSchema.safeParse(parsed.val);
        encodeFrame({ kind: 'session-renewed', session: 123_456, sentMs: 123_456_789.123, termMs: 1_500 });
      }
    });
    receive.push({ size, value: value / repeats });
  }
  return [
    measured('session renewal on the wire', 'bytes', 'reported shard', bytes),
    measured('taking and answering a renewal at the leader', 'us of processor', 'reported shard', receive),
  ];
}

function documentOf(backends: number): ReturnType<typeof configurationSchema.parse> {
  const service = {
    division: 'keyed',
    key: { from: 'path', segment: 0 },
    shards: 64,
    slots: 6,
    connections: 130,
    backends: Object.fromEntries(
      Array.from({ length: backends }, (_, at) => {
        const address = { host: `10.20.${Math.floor(at / 250)}.${at % 250}`, port: 7_400 };
        return [`backend-${at}`, { zone: `zone-${at % 12}`, address }];
      }),
    ),
  };
  return configurationSchema.parse({ version: 1, services: { 'service-1': service } });
}

/** A change of one service that has so many back ends: what each daemon receives. */
function measureConfiguration(): MeasuredSlope[] {
  const bytes: SlopePoint[] = [];
  const apply: SlopePoint[] = [];
  for (const size of [10, 50, 250]) {
    const document = documentOf(size);
    const changesOf = (): ReturnType<typeof encodeChanges> => {
      const submission = { kind: 'configure', submissionId: 'one', baseRevision: 0, document } as const;
      return encodeChanges(applyCommand(emptyControlState(), submission, 1).changes);
    };
    bytes.push({ size, value: encodeFrame({ kind: 'changes', index: 1, changes: changesOf() }).length });
    apply.push({
      size,
      value: cpuMicroseconds(() => void encodeFrame({ kind: 'changes', index: 1, changes: changesOf() })),
    });
  }
  return [
    measured('a configuration change on the wire', 'bytes', 'back end of the service', bytes),
    measured('applying and encoding it', 'us of processor', 'back end of the service', apply),
  ];
}

function measurePlan(): MeasuredSlope[] {
  const points = [15_000, 30_000, 60_000, 120_000].map((size): SlopePoint => {
    const rows = stateOf(size, 1_000).shards.get('service-1')?.rows ?? [];
    const lost = rows.map((row) => (row.owner === 'backend-7' ? { ...row, owner: null, session: 0 } : row));
    const backends = Array.from({ length: 1_000 }, (_, at) => {
      return { name: `backend-${at}`, zone: 'zone', draining: false };
    }).filter(({ name }) => name !== 'backend-7');
    const value = cpuMicroseconds(() => {
      planPlacement({ rows: lost, backends, loadOf: () => 1, toleratedImbalance: 1.1, maxBalanceMoves: 16 });
    });
    return { size, value };
  });
  return [measured('a plan after the loss of one of 1,000 back ends', 'us of processor', 'shard', points)];
}

/** Entries of 200 bytes, synced in batches: time includes the disk. */
async function measureLog(): Promise<MeasuredSlope[]> {
  const folder = await mkdtemp(join(tmpdir(), 'aldertide-slopes-'));
  try {
    const storage = (await ReplicaStorage.open(join(folder, 'data'), 'control-1')).unwrap();
    const bytes: SlopePoint[] = [];
    const time: SlopePoint[] = [];
    let index = 1;
    for (const size of [1, 16, 64, 256]) {
      const rounds: number[] = [];
      const before = storage.logBytes;
      for (let round = 0; round < ROUNDS; round += 1) {
        const entries = Array.from({ length: size }, (): LogEntry => entryOf(index++));
        const startedMs = performance.now();
        await storage.append(entries);
        await storage.sync();
        rounds.push((performance.now() - startedMs) * 1_000);
      }
      bytes.push({ size, value: (storage.logBytes - before) / ROUNDS });
      time.push({ size, value: median(rounds) });
    }
    await storage.close();
    return [
      measured('log entries in one synced batch, on disk', 'bytes', 'entry', bytes),
      measured('log entries in one synced batch, wall time with the sync', 'us', 'entry', time),
    ];
  } finally {
    await rm(folder, { recursive: true });
  }
}

function entryOf(index: number): LogEntry {
  const command = {
    kind: 'complete-move',
    service: 'service-1',
    shard: index % 10_000,
    moveId: index - 3,
    windowHandedOver: true,
    wallMs: 1_800_000_000_000,
  };
  const proposalId = `00000000-0000-4000-8000-${String(index).padStart(12, '0')}`;
  return { index, term: 3, payload: { kind: 'command', proposalId, command } };
}
