/**
 * Messages between a large soak and its hosts, the processes that play callers and back ends. All times are in ms of the
 * machine's steady clock, which all processes share.
 */
import type { GrantMode } from '../../../src/directory/directory-state.js';
import type { SocketAddress } from '../../../src/model/socket-address.js';
import type { ObservedArrival, ObservedRun } from '../late-work-rule.js';

/** Daemon that callers use. */
export interface CalledMachine {
  readonly machine: string;
  readonly address: SocketAddress;
}

/** Route of callers, and its share of the requests. */
export interface CallerRoute {
  readonly prefix: string;
  readonly keyed: boolean;
  readonly repeatable: boolean;
  readonly share: number;
}

/** Order to a host of callers to send requests. */
export interface SendOrder {
  readonly kind: 'send';
  readonly seed: number;
  readonly host: string;
  readonly perSecond: number;
  readonly machines: readonly CalledMachine[];
  readonly routes: readonly CallerRoute[];
}

/** Back end that a host plays. */
export interface HostedBackend {
  readonly machine: string;
  readonly service: string;
  readonly zone: string;
  readonly keyed: boolean;
  readonly address: SocketAddress;
  /** Address at which the daemon receives heartbeats. */
  readonly control: SocketAddress;
}

/** Order to a host of back ends to start them. */
export interface ServeOrder {
  readonly kind: 'serve';
  readonly seed: number;
  readonly grantMode: GrantMode;
  /** Requests that a back end runs concurrently. */
  readonly slots: number;
  readonly backends: readonly HostedBackend[];
}

/** Order to end all back ends and to start new incarnations of them after `downMs`. */
export interface LosePowerOrder {
  readonly kind: 'lose-power';
  readonly downMs: number;
}

/** Order to multiply the work time of some back ends. */
export interface SlowOrder {
  readonly kind: 'slow';
  readonly machines: readonly string[];
  readonly factor: number;
}

/** Order to send what was observed last, and to end. */
export interface EndOrder {
  readonly kind: 'end';
}

/** Order to a host. */
export type HostOrder = SendOrder | ServeOrder | LosePowerOrder | SlowOrder | EndOrder;

/** Outcome of a request as its caller sees it. */
export interface CallerOutcome {
  readonly requestId: string;
  readonly machine: string;
  readonly route: string;
  readonly sentMs: number;
  readonly endedMs: number;
  /** 'left' if the caller closed the connection before it had an answer. */
  readonly outcome: 'answered' | 'refused' | 'failed' | 'left';
}

/** What a host has observed since its last report. */
export interface HostReport {
  readonly outcomes: readonly CallerOutcome[];
  readonly arrivals: readonly ObservedArrival[];
  readonly runs: readonly ObservedRun[];
  /** Longest stall of the host so far, in ms. */
  readonly longestStallMs: number;
}

/** Interval between reports, in ms. */
export const REPORT_INTERVAL_MS = 500;

/** Sends a report to the process that started this one. */
export function sendReport(report: HostReport): void {
  process.send?.(report);
}
