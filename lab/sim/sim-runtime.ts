/** The `Runtime` given to a daemon in a simulation. */
import type { Runtime } from '../../src/runtime/runtime.js';
import type { SimNetwork } from './sim-network.js';
import type { SimProcess } from './sim-process.js';

/** Creates the runtime of a process; `nextId` returns identifiers that are deterministic for a seed. */
export function simRuntime(process: SimProcess, network: SimNetwork, nextId: () => string): Runtime {
  return {
    ...process.clocks(),
    wallMs: () => process.wallMs(),
    after(ms, callback) {
      let cancelled = false;
      process.scheduleOnClock(ms, () => {
        if (!cancelled) callback();
      });
      return () => {
        cancelled = true;
      };
    },
    every(ms, callback) {
      let cancelled = false;
      const next = (): void => {
        process.scheduleOnClock(ms, () => {
          if (cancelled) return;
          next();
          callback();
        });
      };
      next();
      return () => {
        cancelled = true;
      };
    },
    afterInput(callback) {
      process.schedule(0, callback);
    },
    randomId: nextId,
    dial: (address, identity, handlers) => network.dial(process, address, identity, handlers),
    serve: (token, acceptor) => network.serve(process, token, acceptor),
  };
}
