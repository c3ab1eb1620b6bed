/** Replays traces of the specification on the real state machine, so that the two cannot diverge. */
import test from 'ava';
import { execFileSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { configurationSchema } from '../../src/config/configuration.js';
import type { ControlCommand } from '../../src/control/commands.js';
import { emptyControlState, type ControlState } from '../../src/control/control-state.js';
import { applyCommand } from '../../src/control/state-machine.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const QUINT = join(ROOT, 'node_modules', '@informalsystems', 'quint', 'dist', 'src', 'cli.js');
const TRACE_COUNT = 60;
const MAX_STEPS = 60;
const SEED = 1;
const WALL_MS = 1_800_000_000_000;
const ADDRESS = { host: '10.0.0.1', port: 1 };

interface BigIntValue {
  readonly '#bigint': string;
}

interface SpecRow {
  readonly owner: string;
  readonly epoch: BigIntValue;
  readonly session: BigIntValue;
  readonly movingTo: string;
  readonly moveId: BigIntValue;
}

interface SpecState {
  readonly 'mbt::actionTaken': string;
  readonly 'mbt::nondetPicks': {
    readonly b: { readonly value: string };
    readonly s: { readonly value: BigIntValue };
  };
  readonly index: BigIntValue;
  readonly rows: { readonly '#map': readonly [BigIntValue, SpecRow][] };
  readonly sessions: { readonly '#map': readonly [string, BigIntValue][] };
}

function toNumber(value: BigIntValue): number {
  return Number(value['#bigint']);
}

function generateTraces(): SpecState[][] {
  const folder = mkdtempSync(join(tmpdir(), 'aldertide-spec-'));
  try {
    const runArguments = [
      'run',
      join(ROOT, 'spec', 'ownership.qnt'),
      '--backend=typescript',
      `--seed=${SEED}`,
    ];
    const sizeArguments = [
      `--max-samples=${TRACE_COUNT}`,
      `--n-traces=${TRACE_COUNT}`,
      `--max-steps=${MAX_STEPS}`,
    ];
    const outputArguments = ['--mbt', `--out-itf=${join(folder, 'trace_{seq}.itf.json')}`, '--verbosity=0'];
    execFileSync(process.execPath, [
      QUINT,
      ...runArguments,
      ...sizeArguments,
      ...outputArguments,
      '--invariant=safe',
    ]);
    return readdirSync(folder).map((name) => {
      return (JSON.parse(readFileSync(join(folder, name), 'utf8')) as { states: SpecState[] }).states;
    });
  } finally {
    rmSync(folder, { recursive: true });
  }
}

/** Returns the command that corresponds to an action of the specification; null for actions that are not replicated. */
function commandOf(state: SpecState, real: ControlState): ControlCommand | null {
  const backend = state['mbt::nondetPicks'].b.value;
  const shard = toNumber(state['mbt::nondetPicks'].s.value);
  const service = 'stock';
  switch (state['mbt::actionTaken']) {
    case 'openSession': {
      const openId = `open-${toNumber(state.index)}`;
      return { kind: 'open-session', service, backend, openId, agentAddress: ADDRESS, wallMs: WALL_MS };
    }
    case 'closeSession': {
      const session = [...real.sessions.values()].find((open) => open.backend === backend);
      return { kind: 'close-sessions', sessions: [session?.id ?? 0], wallMs: WALL_MS };
    }
    case 'assignShard':
      return { kind: 'assign', service, assignments: [{ backend, shards: Uint32Array.of(shard) }] };
    case 'beginMove':
      return { kind: 'begin-moves', service, moves: [{ shard, backend }] };
    case 'completeMove': {
      const moveId = real.shards.get(service)?.get(shard)?.moveId ?? 0;
      return { kind: 'complete-move', service, shard, moveId, windowHandedOver: true, wallMs: WALL_MS };
    }
    default:
      return null;
  }
}

function initialState(): ControlState {
  const state = emptyControlState();
  const backend = { zone: 'z', address: ADDRESS };
  const service = {
    division: 'keyed',
    key: { from: 'path', segment: 0 },
    shards: 2,
    slots: 1,
    connections: 1,
    backends: { one: backend, two: { ...backend, address: { ...ADDRESS, port: 2 } } },
  };
  const document = configurationSchema.parse({ version: 1, services: { stock: service } });
  applyCommand(state, { kind: 'configure', submissionId: 'first', baseRevision: 0, document }, 0);
  return state;
}

function describeSpec(state: SpecState): unknown {
  return {
    rows: state.rows['#map'].map(([shard, row]) => ({
      shard: toNumber(shard),
      owner: row.owner === '' ? null : row.owner,
      epoch: toNumber(row.epoch),
      session: toNumber(row.session),
      movingTo: row.movingTo === '' ? null : row.movingTo,
      moveId: toNumber(row.moveId),
    })),
    sessions: state.sessions['#map']
      .filter(([, id]) => toNumber(id) > 0)
      .map(([name, id]) => `${name} ${toNumber(id)}`)
      .sort(),
  };
}

function describeReal(state: ControlState): unknown {
  const rows = state.shards.get('stock')?.rows ?? [];
  return {
    rows: rows.map(({ shard, owner, epoch, session, movingTo, moveId }) => {
      return { shard, owner, epoch, session, movingTo, moveId };
    }),
    sessions: [...state.sessions.values()].map(({ backend, id }) => `${backend} ${id}`).sort(),
  };
}

test('every trace of the specification produces the same rows and sessions on the real state machine', (t) => {
  const traces = generateTraces();
  t.is(traces.length, TRACE_COUNT);
  let commands = 0;
  for (const states of traces) {
    const real = initialState();
    for (const state of states) {
      const command = commandOf(state, real);
      if (command !== null) {
        applyCommand(real, command, toNumber(state.index));
        commands += 1;
      }
      t.deepEqual(describeReal(real), describeSpec(state), state['mbt::actionTaken']);
    }
  }
  t.true(commands > TRACE_COUNT);
});
