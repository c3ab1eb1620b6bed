/**
 * Guards against slots that late requests leave free for requests in time that do not exist: with work longer than the
 * target every request is late, and a quarter of the slots served nobody while requests were refused.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { RequestReply } from '../../src/link/link-server.js';
import { InTimeDemand } from '../../src/sidecar/in-time-demand.js';
import { ManualTime } from './manual-runtime.js';
import { TIMED_HEAD, timedGateway } from './timed-gateway.js';

const SLOTS = 8;
const REPLAY_MS = 10_000;

/** A route of the replay: work, target and deadline in ms, and the share of the back end's capacity that it asks for. */
interface Load {
  readonly route: string;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly capacityShare: number;
}

const TOO_LONG: Load = { route: 'too-long', workMs: 700, targetMs: 611, deadlineMs: 4_073, capacityShare: 4 };
const IN_TIME: Load = {
  route: 'in-time',
  workMs: 500,
  targetMs: 1_200,
  deadlineMs: 4_073,
  capacityShare: 0.3,
};

interface Replay {
  /** Answers before the deadline, by route, and those of them within the target. */
  readonly served: Record<string, number>;
  readonly inTime: Record<string, number>;
}

/** Sends each load at random times of a fixed seed to one back end. */
function replay(loads: readonly Load[]): Replay {
  const time = new ManualTime();
  const random = new Random(7);
  const result: Replay = { served: {}, inTime: {} };
  const workMsOf = new Map(loads.map(({ route, workMs }) => [route, workMs]));
  const gateway = timedGateway(time, SLOTS, ({ route }) => workMsOf.get(route) ?? 0);
  const endMs = time.nowMs + REPLAY_MS;
  const send = (load: Load): void => {
    if (time.nowMs >= endMs) return;
    const { route, workMs, targetMs, deadlineMs, capacityShare } = load;
    const sentMs = time.nowMs;
    const head = {
      ...TIMED_HEAD,
      route,
      remainingMs: deadlineMs,
      patienceMs: targetMs / 4,
      targetLeftMs: targetMs,
    };
    const end = (): void => {
      result.served[route] = (result.served[route] ?? 0) + 1;
      if (time.nowMs - sentMs <= targetMs) result.inTime[route] = (result.inTime[route] ?? 0) + 1;
    };
    const reply = { refuse: () => undefined, fail: () => undefined, end } as unknown as RequestReply;
    gateway.accept(head, Buffer.alloc(0), reply);
    time.runtime.after(random.exponential(workMs / SLOTS / capacityShare), () => {
      send(load);
    });
  };
  for (const load of loads) send(load);
  time.pass(REPLAY_MS + TOO_LONG.deadlineMs);
  gateway.stop();
  return result;
}

test('late requests use all slots while no request can be in time', (t) => {
  const { served } = replay([TOO_LONG]);
  t.log(served);
  const capacity = (SLOTS * REPLAY_MS) / TOO_LONG.workMs;
  t.true((served[TOO_LONG.route] ?? 0) >= capacity * 0.95, `${served[TOO_LONG.route]} of ${capacity}`);
});

test('requests that can be in time keep the reserve', (t) => {
  const { served, inTime } = replay([TOO_LONG, IN_TIME]);
  t.log(served, inTime);
  t.true((inTime[IN_TIME.route] ?? 0) >= 48, 'as many as with slots that are always left free');
});

test('the reserve is back with the first request that can be in time, and ends a second after the last', (t) => {
  const demand = new InTimeDemand();
  t.false(demand.isPresent(0));
  demand.recordArrival(5_000);
  t.true(demand.isPresent(5_000));
  t.true(demand.isPresent(5_999));
  t.false(demand.isPresent(6_000));
});
