/** Virtual time of a simulated chain. */
import type { Runtime } from '../../src/runtime/runtime.js';
import type { Random } from '../random.js';
import type { EventQueue } from '../sim/event-queue.js';

/** Event queue with the virtual time, and the runtime that exposes it to daemons. */
export interface ChainTime {
  readonly queue: EventQueue;
  readonly runtime: Runtime;
}

/** Returns a runtime whose timers are events of the queue; it has no network. */
export function chainRuntime(queue: EventQueue, random: Random): Runtime {
  const after = (ms: number, callback: () => void): (() => void) => {
    let cancelled = false;
    queue.at(queue.nowMs + ms, () => {
      if (!cancelled) callback();
    });
    return () => {
      cancelled = true;
    };
  };
  const noNetwork = (): never => {
    throw new Error('invariant broken: daemons of a chain do not dial');
  };
  return {
    nowMs: () => queue.nowMs,
    steadyMs: () => queue.nowMs,
    wallMs: () => queue.nowMs,
    after,
    every: (ms, callback) => {
      let cancelNext = (): void => undefined;
      const next = (): void => {
        cancelNext = after(ms, () => {
          next();
          callback();
        });
      };
      next();
      return () => {
        cancelNext();
      };
    },
    afterInput: (callback) => {
      after(0, callback);
    },
    randomId: () => String(random.below(1_000_000_000)),
    dial: noNetwork,
    serve: noNetwork,
  };
}
