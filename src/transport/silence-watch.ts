/**
 * Notices that the peer of a connection has fallen silent: open connections may stop to carry bytes without a reset,
 * while new ones work. The peer is asked for a sign of life at intervals; any bytes that arrive are one.
 */

import { processIntervals } from '../runtime/clock.js';

/** Lateness of this process's own timer, in ms, after which its measure of silence starts anew. */
const STALL_MS = 250;

/** When a peer counts as silent, in ms. */
export interface SilenceTiming {
  /** Pause between questions for a sign of life. */
  readonly askEveryMs: number;
  /**
   * Silence after which a peer that was asked counts as lost. Below the pause the peer is not asked: a connection that
   * carried nothing for one pause is closed.
   */
  readonly limitMs: number;
}

/** What a watch does. */
export interface SilenceWatchPorts {
  nowMs(): number;
  /** Asks the peer for a sign of life. */
  ask(): void;
  /** Called once. */
  onSilence(): void;
}

/** A watch over one connection. */
export class SilenceWatch {
  private cancelChecks: (() => void) | null = null;
  private timing: SilenceTiming | null = null;
  private heardMs: number;
  private checkedMs = 0;
  /** Whether it was asked since it was last heard. */
  private asked = false;

  constructor(private readonly ports: SilenceWatchPorts) {
    this.heardMs = ports.nowMs();
  }

  /** Bytes have arrived. */
  heard(): void {
    this.asked = false;
    this.heardMs = this.ports.nowMs();
  }

  /** Watches from now on by this timing; going on by the same one changes nothing. */
  watch(timing: SilenceTiming): void {
    if (this.timing === timing) return;
    this.stop();
    this.timing = timing;
    this.heard();
    this.checkedMs = this.heardMs;
    this.cancelChecks = processIntervals.every(timing.askEveryMs, () => {
      this.check(timing);
    });
  }

  /** Watches no more. */
  stop(): void {
    this.cancelChecks?.();
    this.cancelChecks = null;
    this.timing = null;
  }

  /** A process that did not run itself cannot tell whether its peer was silent. */
  private check({ askEveryMs, limitMs }: SilenceTiming): void {
    const nowMs = this.ports.nowMs();
    const stalled = nowMs - this.checkedMs > askEveryMs + STALL_MS;
    this.checkedMs = nowMs;
    if (stalled) this.heardMs = nowMs;
    const silentMs = nowMs - this.heardMs;
    // A timer of this process that is late says nothing of a peer that was not asked yet.
    const mayCount = this.asked || limitMs < askEveryMs;
    if (silentMs > limitMs && mayCount) {
      this.stop();
      this.ports.onSilence();
      return;
    }
    if (silentMs < askEveryMs / 2) return;
    this.asked = true;
    this.ports.ask();
  }
}
