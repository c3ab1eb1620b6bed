/** Runtime of a real process: Node's timers, the machine's clocks, TCP. */
import { randomUUID } from 'node:crypto';
import { MessageClient } from '../transport/message-client.js';
import { MessageServer } from '../transport/message-server.js';
import { clockMs, processIntervals, processTimers, steadyMs } from './clock.js';
import type { Runtime } from './runtime.js';

/** The runtime of this process. */
export const nodeRuntime: Runtime = {
  nowMs: clockMs,
  steadyMs,
  wallMs: Date.now,
  after: (ms, callback) => processTimers.after(ms, callback),
  every: (ms, callback) => processIntervals.every(ms, callback),
  afterInput(callback) {
    setImmediate(callback);
  },
  randomId: randomUUID,
  dial: (address, identity, handlers) => new MessageClient(address, identity, handlers),
  serve: (token, acceptor) => new MessageServer(token, acceptor),
};

/** Returns the runtime with outgoing connections bound to a local IP address; null lets the system choose. */
export function runtimeDialingFrom(localAddress: string | null): Runtime {
  if (localAddress === null) return nodeRuntime;
  return {
    ...nodeRuntime,
    dial: (address, identity, handlers) => new MessageClient(address, identity, handlers, localAddress),
  };
}
