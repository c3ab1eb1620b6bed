/**
 * Statuses on one connection. A head leaves out a status that says nothing new: its receiver takes the last one that this
 * connection has sent, as if it had been sent again. So the receiver's view of the back end is as fresh as with a status in
 * every head, and what it counts from the newest status starts anew.
 *
 * Frames of a paced connection may be overtaken. A status is the last one only if its frame is certain to be written
 * before all later frames; a status in any other frame is marked, and is used only for the head that carries it. A head
 * that leaves out its status and is overtaken gets a later status, which is newer.
 */
import { isStatusHead } from './head-checks.js';
import { FRAME_KIND } from './link-frame.js';
import type { StatusHead } from './link-messages.js';

/** Changes of a status up to which it says nothing new. All other fields must be equal, also those of later builds. */
const MAX_SERVICE_TIME_CHANGE_SHARE = 0.1;
const MAX_PACE_CHANGE_SHARE = 0.05;
const MAX_SEND_WAIT_CHANGE_MS = 5;

/**
 * Share of the slots up to which one request more or less says nothing new: the choice of a back end considers more
 * than 0.7 of the slots as too many to send to it without a probe.
 */
const MAX_FREE_SHARE = 0.5;

/** A head with a status, as on the wire. */
export interface StatusCarrier {
  /** Missing if it is the last status of the connection. */
  readonly status?: StatusHead | null | undefined;
  /** Whether frames that were sent later may have arrived before this one; missing if not. */
  readonly overtaken?: true;
}

const KINDS_WITH_STATUS: ReadonlySet<number> = new Set([
  FRAME_KIND.answer,
  FRAME_KIND.refusal,
  FRAME_KIND.failure,
]);

/** Whether the heads of a kind of frame carry a status, or leave it out. */
export function mayCarryStatus(kind: number): boolean {
  return KINDS_WITH_STATUS.has(kind);
}

/** Whether a head contains a status, also if it is null. */
export function carriesStatus(head: unknown): head is StatusCarrier {
  return typeof head === 'object' && head !== null && 'status' in head;
}

/** Decides which statuses one side of a connection sends. */
export class StatusSender {
  private lastSent: StatusHead | null = null;

  /** Returns the head to send; `keepsOrder` states that its frame is certain to be written before all later frames. */
  reduce(head: StatusCarrier, keepsOrder: () => boolean): StatusCarrier {
    const { status } = head;
    if (status === null || status === undefined) return head;
    if (this.lastSent !== null && !saysSomethingNew(this.lastSent, status)) {
      return { ...head, status: undefined };
    }
    if (!keepsOrder()) return { ...head, overtaken: true };
    this.lastSent = status;
    return head;
  }
}

/** Completes the heads that one side of a connection receives, in the order of their frames on the wire. */
export class StatusReceiver {
  private lastReceived: StatusHead | null = null;

  /** Returns the head with its status; null as the status if there is none, or it is not readable. */
  restore<T extends StatusCarrier>(head: T): T & { readonly status: StatusHead | null } {
    if (head.status === undefined) return { ...head, status: this.lastReceived };
    const status = isStatusHead(head.status) ? head.status : null;
    if (status !== null && head.overtaken !== true) this.lastReceived = status;
    return { ...head, status };
  }
}

/** Whether a status differs from the last one by more than its receivers need to know. */
function saysSomethingNew(last: StatusHead, status: StatusHead): boolean {
  return (
    Math.abs(status.sendWaitMs - last.sendWaitMs) > MAX_SEND_WAIT_CHANGE_MS ||
    differsBy(MAX_SERVICE_TIME_CHANGE_SHARE, last.serviceMs, status.serviceMs) ||
    differsBy(MAX_PACE_CHANGE_SHARE, last.pace, status.pace) ||
    differsBy(MAX_PACE_CHANGE_SHARE, last.meanPace, status.meanPace) ||
    hasNewOccupancy(last, status) ||
    exactPart(last) !== exactPart(status)
  );
}

function differsBy(maxShare: number, last: number, present: number): boolean {
  return Math.abs(present - last) > maxShare * Math.abs(last);
}

function hasNewOccupancy(last: StatusHead, status: StatusHead): boolean {
  const change = Math.abs(status.running + status.waiting - last.running - last.waiting);
  const most = Math.max(status.running + status.waiting, last.running + last.waiting);
  return change > (most <= status.slots * MAX_FREE_SHARE ? 1 : 0);
}

/** Returns the fields that are compared exactly, as text. */
function exactPart(status: StatusHead): string {
  return JSON.stringify({
    ...status,
    running: 0,
    waiting: 0,
    serviceMs: 0,
    sendWaitMs: 0,
    pace: 0,
    meanPace: 0,
  });
}
