/** What callers get and how late: outcomes of requests and the times of their answers. */
import { build, type Histogram } from 'hdr-histogram-js';

const FIRST_SUCCESS = 200;
const FIRST_NOT_SUCCESS = 300;
const FIRST_SERVER_ERROR = 500;
const REFUSING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Longest time in ms that is told apart. */
const MAX_MS = 60_000;

const MEDIAN = 50;
const HIGH_PERCENTILE = 95;

/** Numbers of requests by what their callers got, and times in ms of whole answers of back ends. */
export interface AnswerSummary {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Answers of 500 and above that refuse nothing. */
  readonly serverErrors: number;
  readonly otherErrors: number;
  /** Requests whose connection ended before their answer was whole. */
  readonly cut: number;
  readonly medianMs: number;
  readonly p95Ms: number;
}

/** Counts the requests of some callers. */
export class AnswerTimes {
  private readonly counts = { inTime: 0, late: 0, refused: 0, serverErrors: 0, otherErrors: 0, cut: 0 };
  private readonly times: Histogram = build({ highestTrackableValue: MAX_MS });

  /** Records a whole answer, `tookMs` after its request was begun, which had `deadlineMs`. */
  answered(status: number, tookMs: number, deadlineMs: number): void {
    const { counts } = this;
    if (status >= FIRST_SUCCESS && status < FIRST_NOT_SUCCESS) {
      if (tookMs <= deadlineMs) counts.inTime += 1;
      else counts.late += 1;
      this.times.recordValue(Math.min(MAX_MS, Math.max(1, Math.round(tookMs))));
    } else if (REFUSING_STATUSES.has(status)) counts.refused += 1;
    else if (status >= FIRST_SERVER_ERROR) counts.serverErrors += 1;
    else counts.otherErrors += 1;
  }

  /** Records a request whose connection ended. */
  cut(): void {
    this.counts.cut += 1;
  }

  /** Adds what another object has recorded. */
  add(other: AnswerTimes): void {
    for (const [name, count] of Object.entries(other.counts)) {
      this.counts[name as keyof typeof this.counts] += count;
    }
    this.times.add(other.times);
  }

  /** Returns what was recorded. */
  summary(): AnswerSummary {
    const medianMs = this.times.getValueAtPercentile(MEDIAN);
    const p95Ms = this.times.getValueAtPercentile(HIGH_PERCENTILE);
    return { ...this.counts, medianMs, p95Ms };
  }
}

/** Returns a summary as text. */
export function formatAnswers(summary: AnswerSummary): string {
  const { inTime, late, refused, serverErrors, otherErrors, cut, medianMs, p95Ms } = summary;
  const outcomes = `${inTime} in time, ${late} late, ${refused} refused, ${serverErrors} 5xx, ${otherErrors} 4xx, ${cut} cut`;
  return `${outcomes}, median ${medianMs} ms, p95 ${p95Ms} ms`;
}
