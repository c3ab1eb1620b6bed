/** Gateway to a back end whose runs take a given time of a manual clock. */
import type { RequestHead } from '../../src/link/link-messages.js';
import type { BackendClient } from '../../src/sidecar/backend-client.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import { gatewayPorts } from './gateway-ports.js';
import type { ManualTime } from './manual-runtime.js';

/** Head of a request without a key for the back end of `timedGateway`; times are to be filled in. */
export const TIMED_HEAD: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: [],
  instance: 'life-1',
  key: null,
  route: 'route',
  priority: 1,
  repeatable: true,
  remainingMs: 0,
  patienceMs: 0,
  targetLeftMs: 0,
  spentMs: 0,
};

/** Creates a gateway; `workMs` returns the time that a run takes which starts now. */
export function timedGateway(
  time: ManualTime,
  slots: number,
  workMs: (head: RequestHead) => number,
): BackendGateway {
  const backend: BackendClient = {
    opened: 0,
    prepare: (head, _body, _leftMs, ports) => ({
      start: () => {
        time.runtime.after(workMs(head), () => {
          ports.reply.end();
          ports.onDone({ kind: 'answered', statusCode: 200, bytes: 0, pace: null });
        });
      },
      cancel: () => undefined,
    }),
    destroy: () => undefined,
  };
  const gateway = new BackendGateway(gatewayPorts(time, backend));
  gateway.setSlots(slots);
  return gateway;
}
