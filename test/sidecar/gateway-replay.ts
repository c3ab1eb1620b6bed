/** Replays requests with keys at 1.6 times the capacity of one gateway, whose callers return after refusals. */
import type { Random } from '../../lab/random.js';
import type { RequestHead } from '../../src/link/link-messages.js';
import type { RequestReply } from '../../src/link/link-server.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import type { RunPorts } from '../../src/sidecar/backend-run.js';
import { ColdStartLimit } from '../../src/sidecar/cold-start-limit.js';
import { NO_CRASH_GUARD } from '../../src/sidecar/crash-guard.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import { ManualTime } from './manual-runtime.js';

const SLOTS = 8;
const WORK_MS = 200;
const OVERLOAD = 1.6;
const SECONDS = 40;
const TARGET_MS = 800;
const DEADLINE_MS = 3_000;
/** Time from a refusal until a caller that does not wait is back. */
const HASTE_MS = 4;
/** Steps in which the time that a caller has spent is read from its deadline. */
const SPENT_STEP_MS = 20;
/** Minimum share of the target after which a caller that waits is told to return. */
const MIN_RETURN_SHARE = 0.5;

/** How callers behave after a refusal. */
export interface GatewayCaller {
  readonly retries: number;
  /** Whether they return when they were told to, or at once. */
  readonly waits: boolean;
}

/** Requests asked and served by kind of caller. */
export interface GatewayReplay {
  readonly asked: number[];
  readonly served: number[];
  readonly returns: BackendGateway['returns']['ended'];
}

/** Replays the load with equal numbers of requests of each kind of caller. */
export function keyedGateway(random: Random, callers: readonly GatewayCaller[]): GatewayReplay {
  const time = new ManualTime();
  const gateway = createGateway(time, random);
  const asked = callers.map(() => 0);
  const served = callers.map(() => 0);
  let requests = 0;
  const send = (caller: number, firstMs: number, retriesLeft: number): void => {
    const { waits } = callers[caller] ?? { waits: false };
    const elapsedMs = time.nowMs - firstMs;
    const reply: RequestReply = {
      refuse: ({ retryAfterMs }) => {
        const backInMs = waits ? Math.max(retryAfterMs, TARGET_MS * MIN_RETURN_SHARE) : HASTE_MS;
        if (retriesLeft === 0) return;
        time.runtime.after(backInMs, () => {
          send(caller, firstMs, retriesLeft - 1);
        });
      },
      answer: () => (served[caller] = (served[caller] ?? 0) + 1),
      fail: () => undefined,
      body: () => true,
      end: () => undefined,
      onDrain: () => undefined,
    };
    const spentMs = Math.floor(elapsedMs / SPENT_STEP_MS) * SPENT_STEP_MS;
    gateway.accept(headOf(`r${requests++}`, spentMs, DEADLINE_MS - elapsedMs), Buffer.alloc(0), reply);
  };
  const meanMs = WORK_MS / (SLOTS * OVERLOAD);
  for (let atMs = 0; atMs < SECONDS * 1_000; atMs += random.exponential(meanMs)) {
    time.runtime.after(atMs, () => {
      const caller = random.below(callers.length);
      asked[caller] = (asked[caller] ?? 0) + 1;
      send(caller, time.nowMs, callers[caller]?.retries ?? 0);
    });
  }
  for (let passedMs = 0; passedMs < SECONDS * 1_000 + DEADLINE_MS; passedMs += 10) time.pass(10);
  gateway.stop();
  return { asked, served, returns: gateway.returns.ended };
}

function headOf(requestId: string, spentMs: number, remainingMs: number): RequestHead {
  const fixed = { method: 'GET', path: '/', headers: [], instance: 'life', route: 'route', key: 1 };
  const targetLeftMs = TARGET_MS;
  return {
    ...fixed,
    requestId,
    spentMs,
    remainingMs,
    targetLeftMs,
    priority: 1,
    repeatable: true,
    patienceMs: 200,
  };
}

function createGateway(time: ManualTime, random: Random): BackendGateway {
  const { runtime } = time;
  const prepare = (_head: RequestHead, _body: Buffer, _leftMs: number, ports: RunPorts) => {
    const start = (): void => {
      runtime.after(WORK_MS * (0.5 + random.fraction()), () => {
        ports.onDone({ kind: 'answered', statusCode: 200, bytes: 100, pace: null });
        const head = { statusCode: 200, headers: [], moreFollows: false, contentLength: 0, framed: true };
        ports.reply.answer({ ...head, timing: ports.timing(), status: null }, Buffer.alloc(0));
      });
    };
    return { start, cancel: () => undefined };
  };
  const gateway = new BackendGateway({
    runtime,
    log: SILENT_EVENT_LOG,
    service: 's',
    latencies: NO_LATENCIES,
    pacer: null,
    backend: { opened: 0, prepare, destroy: () => undefined },
    coldLimit: new ColdStartLimit({ factor: 1.5, slack: 8 }, -10_000),
    guard: NO_CRASH_GUARD,
    instance: () => 'life',
    awaitsBackend: () => false,
    closesAtMs: () => Infinity,
    leaving: () => false,
    holdsKey: () => true,
    ownsKey: () => true,
    onAnswer: () => undefined,
    onWork: () => undefined,
  });
  gateway.setSlots(SLOTS);
  return gateway;
}
