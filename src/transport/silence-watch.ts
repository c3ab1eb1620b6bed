/**
 * Detects that the peer of a connection has fallen silent: an open connection may stop carrying bytes without a reset
 * while new connections work. The peer is probed at intervals; any received bytes show that it is live.
 */

import { processIntervals } from '../runtime/clock.js';

/** Delay of this process's own timer, in ms, after which the measurement of silence restarts. */
const MIN_STALL_MS = 250;

/** Times after which a peer is probed and counts as silent, in ms. */
export interface SilenceTiming {
  /** Interval between probes. */
  readonly probeIntervalMs: number;
  /**
   * Silence after which a probed peer counts as lost. If it is shorter than the probe interval, the peer is not probed
   * first: a connection that carried nothing for one interval is closed.
   */
  readonly maxSilenceMs: number;
  /** Shorter silence after which a probed peer is suspected; missing if it never is. */
  readonly suspectedAfterMs?: number;
}

/** Clock and callbacks of a watch. */
export interface SilenceWatchPorts {
  nowMs(): number;
  /** Sends a probe to the peer. */
  sendProbe(): void;
  /** Called once when the peer counts as silent; the watch has then stopped. */
  onSilence(): void;
  /** Called once in each silence in which the peer is suspected. */
  onSuspicion?(): void;
}

/** Watches one connection. */
export class SilenceWatch {
  private cancelChecks: (() => void) | null = null;
  /** Interval in ms of the checks in progress. */
  private checkIntervalMs = Infinity;
  private timing: SilenceTiming | null = null;
  private receivedMs: number;
  private checkedMs = 0;
  /** Whether the peer was probed since bytes were last received. */
  private probed = false;
  /** Whether the peer was suspected since bytes were last received. */
  private suspected = false;

  constructor(private readonly ports: SilenceWatchPorts) {
    this.receivedMs = ports.nowMs();
  }

  /** Records that bytes were received. */
  recordReceived(): void {
    this.probed = false;
    this.suspected = false;
    this.receivedMs = this.ports.nowMs();
  }

  /**
   * Starts watching with a timing; has no effect if the same timing is already in use. Checks at shorter intervals go on
   * until the next one, since the timing of a connection in use changes with each request.
   */
  watch(timing: SilenceTiming): void {
    if (this.timing === timing) return;
    this.timing = timing;
    this.recordReceived();
    this.checkedMs = this.receivedMs;
    if (this.cancelChecks === null || timing.probeIntervalMs < this.checkIntervalMs) this.startChecks(timing);
  }

  /** Stops watching. */
  stop(): void {
    this.cancelChecks?.();
    this.cancelChecks = null;
    this.timing = null;
  }

  private startChecks({ probeIntervalMs }: SilenceTiming): void {
    this.cancelChecks?.();
    this.checkIntervalMs = probeIntervalMs;
    this.cancelChecks = processIntervals.every(probeIntervalMs, () => {
      if (this.timing === null) return;
      if (this.timing.probeIntervalMs === this.checkIntervalMs) this.check(this.timing);
      else this.startChecks(this.timing);
    });
  }

  /** Checks the peer. After a stall of this process the measurement restarts, since the peer may not have been silent. */
  private check({ probeIntervalMs, maxSilenceMs, suspectedAfterMs = Infinity }: SilenceTiming): void {
    const nowMs = this.ports.nowMs();
    const stalled = nowMs - this.checkedMs > probeIntervalMs + MIN_STALL_MS;
    this.checkedMs = nowMs;
    if (stalled) this.receivedMs = nowMs;
    const silentMs = nowMs - this.receivedMs;
    // Silence of a peer that was not probed yet may only mean that this process's timer was late.
    const isConclusive = this.probed || maxSilenceMs < probeIntervalMs;
    if (silentMs > maxSilenceMs && isConclusive) {
      this.unlessInputPending(() => {
        this.stop();
        this.ports.onSilence();
      });
      return;
    }
    if (silentMs > suspectedAfterMs && this.probed && !this.suspected) {
      this.unlessInputPending(() => {
        this.suspected = true;
        this.ports.onSuspicion?.();
      });
    }
    // An unused connection is not kept open by probes, and one that carried bytes since the last check needs none.
    if (maxSilenceMs < probeIntervalMs || silentMs < probeIntervalMs) return;
    this.probed = true;
    this.ports.sendProbe();
  }

  /** Calls back unless the peer's bytes have arrived but were not read yet: a late timer fires before they are. */
  private unlessInputPending(callback: () => void): void {
    const { timing, receivedMs } = this;
    setImmediate(() => {
      if (this.timing === timing && this.receivedMs === receivedMs) callback();
    });
  }
}
