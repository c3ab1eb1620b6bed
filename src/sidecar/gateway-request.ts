/** A request in the gateway to a back end. */
import type { RequestHead } from '../link/link-messages.js';
import type { RequestReply } from '../link/link-server.js';
import type { IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import type { SlotRequest } from './admission.js';
import type { PreparedRun } from './backend-client.js';
import { headerValue } from './header-dialect.js';
import type { SuspectRequest } from './suspect-scheduler.js';

/** State of a request in the gateway. */
export interface GatewayRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  /** The parts of the request that its fingerprint is computed from. */
  readonly identity: IdentifiedRequest;
  readonly reply: RequestReply;
  readonly arrivedMs: number;
  readonly expiresMs: number;
  slotRequest: SlotRequest | null;
  /** Set while the request is handled as a suspect. */
  suspect: SuspectRequest | null;
  run: PreparedRun | null;
  /** Whether no other request has run at the back end at the same time. */
  alone: boolean;
  startedMs: number;
  /** Number of the request among those sent to the back end. */
  sendNumber: number;
  /** Slot time in ms that was reported as offered load when the request arrived. */
  offeredMs: number;
  /** Whether the request is queued although its answer will miss the target latency. */
  waitsLate: boolean;
  /** Whether room was reserved for it after an earlier refusal. */
  reserved: boolean;
  done: boolean;
}

/** Creates the state of a request that has arrived; it waits for its key or the back end until `expiresMs`. */
export function createGatewayRequest(
  head: RequestHead,
  body: Buffer,
  reply: RequestReply,
  arrivedMs: number,
  expiresMs: number,
): GatewayRequest {
  return {
    head,
    body,
    identity: identityOf(head, body),
    reply,
    arrivedMs,
    expiresMs,
    slotRequest: null,
    suspect: null,
    run: null,
    alone: false,
    startedMs: 0,
    sendNumber: 0,
    offeredMs: 0,
    waitsLate: false,
    reserved: false,
    done: false,
  };
}

function identityOf({ method, path, headers, key }: RequestHead, body: Buffer): IdentifiedRequest {
  return { method, host: headerValue(headers, 'host'), path, headers, key, body };
}
