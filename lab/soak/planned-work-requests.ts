/**
 * What the callers of the soak of planned work ask for, by kind of use of a connection: the work of the back end, the answer and the
 * deadline. Usual callers ask for work of every length; the others for downloads of every size among short requests, with deadlines
 * that a full network link or a slow body misses.
 */
import type { StandInRoute } from '../../platform/stand-in-wire.js';
import type { Random } from '../random.js';
import type { StatedStream, StatedWork } from './stated-work.js';

const KIB = 1024;
const MIB = 1024 * KIB;

/** Ways of using a connection. */
export type Use =
  | 'short'
  | 'long'
  | 'download'
  | 'slow-reader'
  | 'slow-body'
  | 'several'
  | 'behind-head'
  | 'brief'
  | 'sheet'
  | 'any-size'
  | 'past-deadline'
  | 'pipelined';

/** Groups of callers: those of every use, those of a pool with one request at a time, and those that do not wait for answers. */
export const CALLER_GROUPS = ['usual', 'pool', 'pipelined'] as const;

/** A group of callers. */
export type CallerGroup = (typeof CALLER_GROUPS)[number];

/** Ways in which each group uses a connection, with their weights. */
const USES: Readonly<Record<CallerGroup, readonly (readonly [Use, number])[]>> = {
  usual: [
    ['short', 28],
    ['long', 24],
    ['download', 16],
    ['slow-reader', 8],
    ['slow-body', 8],
    ['several', 8],
    ['behind-head', 8],
  ],
  pool: [
    ['brief', 30],
    ['sheet', 58],
    ['any-size', 8],
    ['past-deadline', 4],
  ],
  pipelined: [['pipelined', 1]],
};

/** Requests in front of others on a connection, and those behind them. */
const PIPELINED_FRONTS = ['past-deadline', 'any-size', 'sheet', 'brief'] as const;
const PIPELINED_BEHIND = ['brief', 'brief', 'sheet'] as const;

/** Deadline in ms of most requests of usual callers, and range of that of the others, which their share has. */
const USUAL_DEADLINE_MS = 25_000;
const SHORT_DEADLINE_SHARE = 0.1;
const MIN_SHORT_DEADLINE_MS = 300;
const MAX_SHORT_DEADLINE_MS = 2_500;

/** Spans in ms from which the time of long work is drawn: within the grace time, near it and beyond it. */
const LONG_WORK_MS = [
  [300, 2_000],
  [2_000, 5_000],
  [5_000, 8_000],
] as const;

/** Sizes in bytes of the smallest and the largest answer of any size, and of those of sheets. */
const MIN_ANY_BYTES = KIB;
const MAX_ANY_BYTES = 8 * MIB;
const MIN_SHEET_BYTES = 45 * KIB;
const MAX_SHEET_BYTES = 135 * KIB;

/** Shares of the answers with a length, of those that the back end gives at once, and of the larger ones that it breaks off. */
const LENGTH_SHARE = 0.8;
const AT_ONCE_SHARE = 0.7;
const BROKEN_SHARE = 0.04;

/** Longest time in ms over which other bodies flow. */
const MAX_FLOW_MS = 2_000;

/** Times in ms over which slow bodies flow, and how much earlier and later than their deadlines they end. */
const MIN_SLOW_FLOW_MS = 1_500;
const MAX_SLOW_FLOW_MS = 2_500;
const MAX_EARLY_MS = 200;
const MAX_LATE_MS = 1_200;

/**
 * Deadlines in ms of the other requests of pools and pipelined callers, without the time that their bytes take at a rate near that
 * of a slow link.
 */
const MIN_POOL_DEADLINE_MS = 1_000;
const MAX_POOL_DEADLINE_MS = 3_000;
const MIN_BYTES_PER_MS = 1_000;

/** Draws a use of a group. */
export function drawUse(random: Random, group: CallerGroup): Use {
  const uses = USES[group];
  let rest = random.below(uses.reduce((sum, [, weight]) => sum + weight, 0));
  for (const [use, weight] of uses) {
    if (rest < weight) return use;
    rest -= weight;
  }
  return 'short';
}

/** Draws the uses of a front and of the requests behind it. */
export function drawPipeline(random: Random): { readonly front: Use; readonly behind: readonly Use[] } {
  const front = random.pick(PIPELINED_FRONTS);
  return {
    front,
    behind: Array.from({ length: 1 + random.below(3) }, () => random.pick(PIPELINED_BEHIND)),
  };
}

/** Returns the kinds of routes that a use asks for. */
export function routeKinds(use: Use): readonly StandInRoute['kind'][] {
  switch (use) {
    case 'download':
    case 'slow-reader':
      return ['download'];
    case 'slow-body':
      return ['non_idempotent'];
    case 'sheet':
      return ['safe'];
    case 'any-size':
      return ['download'];
    case 'past-deadline':
      return ['download', 'safe'];
    default:
      return ['safe', 'non_idempotent'];
  }
}

/** Draws the work of a back end on a request. */
export function drawWork(random: Random, use: Use): StatedWork {
  switch (use) {
    case 'long': {
      const [fromMs, toMs] = random.pick(LONG_WORK_MS);
      return { workMs: fromMs + random.below(toMs - fromMs), stream: null };
    }
    case 'download':
    case 'behind-head': {
      const bytes = (128 + random.below(2_048)) * KIB + random.below(2);
      return { workMs: random.below(100), stream: { bytes, durationMs: 300 + random.below(4_700) } };
    }
    case 'slow-reader': {
      const bytes = (512 + random.below(2_048)) * KIB + random.below(2);
      return { workMs: random.below(100), stream: { bytes, durationMs: 0 } };
    }
    case 'sheet': {
      const bytes = framed(random, MIN_SHEET_BYTES + random.below(MAX_SHEET_BYTES - MIN_SHEET_BYTES));
      return { workMs: random.below(100), stream: { bytes, durationMs: drawFlowMs(random) } };
    }
    case 'any-size': {
      const bytes = drawAnySize(random);
      return {
        workMs: random.below(100),
        stream: drawBreak(random, { bytes, durationMs: drawFlowMs(random) }),
      };
    }
    case 'past-deadline': {
      const durationMs = MIN_SLOW_FLOW_MS + random.below(MAX_SLOW_FLOW_MS - MIN_SLOW_FLOW_MS);
      return {
        workMs: random.below(20),
        stream: drawBreak(random, { bytes: drawAnySize(random), durationMs }),
      };
    }
    default:
      return { workMs: random.below(60), stream: null };
  }
}

/** Draws the deadline of a request in ms. */
export function drawDeadline(random: Random, use: Use, { stream }: StatedWork): number {
  switch (use) {
    case 'past-deadline':
      return (stream?.durationMs ?? 0) + MAX_EARLY_MS - random.below(MAX_EARLY_MS + MAX_LATE_MS);
    case 'brief':
    case 'sheet':
    case 'any-size':
      return (
        MIN_POOL_DEADLINE_MS +
        random.below(MAX_POOL_DEADLINE_MS - MIN_POOL_DEADLINE_MS) +
        Math.round((stream?.bytes ?? 0) / MIN_BYTES_PER_MS)
      );
    default:
      if (random.fraction() >= SHORT_DEADLINE_SHARE) return USUAL_DEADLINE_MS;
      return MIN_SHORT_DEADLINE_MS + random.below(MAX_SHORT_DEADLINE_MS - MIN_SHORT_DEADLINE_MS);
  }
}

/** Draws a size of which each magnitude is equally likely. */
function drawAnySize(random: Random): number {
  const bytes = MIN_ANY_BYTES * (MAX_ANY_BYTES / MIN_ANY_BYTES) ** random.fraction();
  return framed(random, Math.round(bytes));
}

/** Back ends state the length of answers of an odd size, and send the others in chunks. */
function framed(random: Random, bytes: number): number {
  const isOdd = random.fraction() < LENGTH_SHARE;
  return bytes - (bytes % 2) + (isOdd ? 1 : 0);
}

function drawFlowMs(random: Random): number {
  return random.fraction() < AT_ONCE_SHARE ? 0 : random.below(MAX_FLOW_MS);
}

function drawBreak(random: Random, stream: StatedStream): StatedStream {
  if (random.fraction() >= BROKEN_SHARE) return stream;
  return { ...stream, cutAtBytes: random.below(stream.bytes) };
}
