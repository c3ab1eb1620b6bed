/** Logs the first time that a daemon reaches each stage of its start, up to the first answer to a caller. */
import type { EventLog } from './event-log.js';

/** Stage of a start. */
export type StartStage = 'table' | 'back-end' | 'registered' | 'request' | 'answer';

/** Stages of one start. */
export class StartStages {
  private readonly reached = new Set<StartStage>();
  private readonly startedMs: number;

  constructor(
    private readonly nowMs: () => number,
    private readonly log: EventLog,
  ) {
    this.startedMs = nowMs();
  }

  /** Records that a stage is reached; only the first time counts. */
  reach(stage: StartStage): void {
    if (this.reached.has(stage)) return;
    this.reached.add(stage);
    this.log.event('start-stage', { stage, afterMs: Math.round(this.nowMs() - this.startedMs) });
  }

  /** Whether a stage was reached. */
  has(stage: StartStage): boolean {
    return this.reached.has(stage);
  }
}
