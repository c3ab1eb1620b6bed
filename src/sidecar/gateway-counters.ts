/** Counters of a gateway: requests, runs, refusals and slot time. */
import type { RefusalReason } from '../link/link-messages.js';
import type { RunOutcome } from './backend-run.js';

/** Use of slot time: for a successful answer, an error answer, or no answer. */
export type SlotTimeUse = 'success' | 'failure' | 'none';

/** Counters of a gateway. */
export interface GatewayCounters {
  requests: number;
  /** Requests that a running request of another back end waits for. */
  calls: number;
  /** Requests whose relation to a waiting request was not readable; these are served as new work. */
  unreadableCalls: number;
  /** Slot time in ms by use. */
  readonly slotMs: Record<SlotTimeUse, number>;
  runs: number;
  answered: number;
  broken: number;
  refused: Record<RefusalReason, number>;
  /** Requests whose caller left, by what they were doing. */
  readonly cancelled: Record<'unread' | 'waiting' | 'running', number>;
  /** Of the refusals as busy, those because the network link had no room for the answer. */
  refusedForLink: number;
}

/** Creates counters at zero. */
export function createGatewayCounters(): GatewayCounters {
  return {
    requests: 0,
    calls: 0,
    unreadableCalls: 0,
    slotMs: { success: 0, failure: 0, none: 0 },
    cancelled: { unread: 0, waiting: 0, running: 0 },
    refusedForLink: 0,
    runs: 0,
    answered: 0,
    broken: 0,
    refused: {
      busy: 0,
      'rate-limited': 0,
      leaving: 0,
      'unknown-instance': 0,
      'not-owner': 0,
      unreachable: 0,
      cancelled: 0,
      declined: 0,
      quarantined: 0,
      unreadable: 0,
    },
  };
}

/** Lowest status that counts as a failure of the back end. */
const FIRST_FAILURE_STATUS = 500;

/** Returns what the slot time of a run was used for. */
export function slotTimeUse(outcome: RunOutcome): SlotTimeUse {
  if (outcome.kind !== 'answered') return 'none';
  return outcome.statusCode < FIRST_FAILURE_STATUS ? 'success' : 'failure';
}
