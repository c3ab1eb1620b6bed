/** The runtime of a real process: Node's timers, the machine's clocks, TCP. */
import { randomUUID } from 'node:crypto';
import { MessageClient } from '../transport/message-client.js';
import { MessageServer } from '../transport/message-server.js';
import { monotonicMs } from './clock.js';
import type { Runtime } from './runtime.js';

/** The runtime of this process. */
export const nodeRuntime: Runtime = {
  nowMs: monotonicMs,
  wallMs: Date.now,
  after(ms, callback) {
    const timer = setTimeout(callback, ms);
    return () => {
      clearTimeout(timer);
    };
  },
  every(ms, callback) {
    const timer = setInterval(callback, ms);
    return () => {
      clearInterval(timer);
    };
  },
  afterInput(callback) {
    setImmediate(callback);
  },
  randomId: randomUUID,
  dial: (address, identity, handlers) => new MessageClient(address, identity, handlers),
  serve: (token, acceptor) => new MessageServer(token, acceptor),
};
