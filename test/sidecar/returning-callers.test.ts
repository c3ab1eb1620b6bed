/**
 * Guards against refused callers that all return into the same overload. After a restart every caller comes at once, the
 * work takes several times as long, and what is refused was told to return within 600 ms, whatever the back end finished.
 */
import test from 'ava';
import { Random } from '../../lab/random.js';
import type { RequestReply } from '../../src/link/link-server.js';
import { ReturnSchedule } from '../../src/sidecar/return-schedule.js';
import { ManualTime } from './manual-runtime.js';
import { TIMED_HEAD, timedGateway } from './timed-gateway.js';

const SLOTS = 8;
const PER_SECOND = 60;
const TARGET_MS = 611;
const DEADLINE_MS = 4_073;
const MAX_RETRIES = 2;

/** Shortest retry delay that a caller's sidecar passes on, in ms. */
const MIN_RETRY_AFTER_MS = TARGET_MS / 2;

/** Work in ms while keys are cold and after that, end of the cold time, and end of the arrivals, in ms. */
const COLD_WORK_MS = 741;
const WARM_WORK_MS = 190;
const COLD_MS = 2_000;
const ARRIVALS_MS = 6_000;

/** Callers that failed while the back end was down and come with its start. */
const RETURNING_AT_START = 100;

interface Replay {
  served: number;
  inTarget: number;
  /** Requests refused at their first attempt, and refusals of later attempts. */
  refused: number;
  refusedAgain: number;
  sent: number;
}

function replay(seed: number): Replay {
  const time = new ManualTime();
  const random = new Random(seed);
  const startMs = time.nowMs;
  const result: Replay = { served: 0, inTarget: 0, refused: 0, refusedAgain: 0, sent: 0 };
  const gateway = timedGateway(time, SLOTS, () =>
    time.nowMs - startMs < COLD_MS ? COLD_WORK_MS : WARM_WORK_MS,
  );
  const attempt = (firstMs: number, retriesLeft: number): void => {
    const spentMs = time.nowMs - firstMs;
    const remainingMs = DEADLINE_MS - spentMs;
    if (remainingMs <= 0) return;
    const head = {
      ...TIMED_HEAD,
      route: 'lookup',
      priority: 2,
      remainingMs,
      patienceMs: TARGET_MS / 4,
      targetLeftMs: TARGET_MS,
      spentMs,
    };
    const reply = {
      refuse: ({ retryAfterMs }: { retryAfterMs: number }) => {
        if (spentMs === 0) result.refused += 1;
        else result.refusedAgain += 1;
        if (retriesLeft === 0) return;
        time.runtime.after(Math.max(MIN_RETRY_AFTER_MS, retryAfterMs), () => {
          attempt(firstMs, retriesLeft - 1);
        });
      },
      fail: () => undefined,
      end: () => {
        result.served += 1;
        if (time.nowMs - firstMs <= TARGET_MS) result.inTarget += 1;
      },
    } as unknown as RequestReply;
    gateway.accept(head, Buffer.alloc(0), reply);
  };
  const arrive = (): void => {
    if (time.nowMs - startMs >= ARRIVALS_MS) return;
    result.sent += 1;
    attempt(time.nowMs, MAX_RETRIES);
    time.runtime.after(random.exponential(1_000 / PER_SECOND), arrive);
  };
  for (let at = 0; at < RETURNING_AT_START; at += 1) {
    result.sent += 1;
    attempt(time.nowMs, MAX_RETRIES);
  }
  arrive();
  time.pass(ARRIVALS_MS + DEADLINE_MS);
  gateway.stop();
  return result;
}

test('callers refused after a restart return when there is room', (t) => {
  const replays = [1, 2, 3].map(replay);
  for (const { served, inTarget, refused, refusedAgain, sent } of replays)
    t.log({ sent, served, inTarget, refused, refusedAgain });
  const total = (figure: keyof Replay): number => replays.reduce((sum, result) => sum + result[figure], 0);
  t.true(total('served') >= 700, `${total('served')} served`);
  t.true(total('inTarget') >= 450, `${total('inTarget')} in time`);
  t.true(total('refusedAgain') <= 1_200, `${total('refusedAgain')} refused again`);
});

test('return times follow the time that finished requests took, within what each request can still use', (t) => {
  const schedule = new ReturnSchedule();
  const bounds = { firstMs: 50, latestMs: 3_000, expectedUseMs: 80, slots: 8 };
  t.is(schedule.nextDelayMs(bounds, 0), 50);
  t.is(schedule.nextDelayMs(bounds, 0), 60, 'nothing has been finished yet');
  for (let finished = 0; finished < 4; finished += 1) schedule.recordFinished(2_000, 100);
  const delays = Array.from({ length: 17 }, () => schedule.nextDelayMs(bounds, 100));
  t.deepEqual(delays.slice(0, 3), [210, 460, 710]);
  t.true(delays.every((delayMs) => delayMs >= 50 && delayMs <= 3_000));
  t.is(delays[16], 50, 'the times start again');
  t.is(schedule.nextDelayMs({ ...bounds, latestMs: 0 }, 100), 50, 'no later time is of use');
});
