/**
 * Confirms the ends of answers that nothing but the end of their connection delimits. The operating system ends the
 * connections of a killed process in the same way, so such an answer is whole only if the same incarnation of the back end
 * answers something that was sent after that end: another request, or a probe of its identity.
 */
import type { CancelTimer, Runtime } from '../runtime/runtime.js';

/** What a probe shows of an incarnation: it is there, it has ended, or neither. */
export type IncarnationState = 'present' | 'ended' | 'unknown';

/** Probes the back end for an incarnation. */
export type ProbeIncarnation = (instance: string) => Promise<IncarnationState>;

/** Outcome: `ended` if the incarnation is not there any more, `timeout` if nothing showed whether it is. */
export type Confirmation = 'confirmed' | 'ended' | 'timeout';

/** Time in ms after which an end counts as not confirmed; a back end without a free slot may not answer a probe sooner. */
const MAX_WAIT_MS = 600;

/** Pause in ms before another probe, after one that showed nothing. */
const PROBE_PAUSE_MS = 40;

interface PendingEnd {
  readonly instance: string;
  /** Number of this end. */
  readonly number: number;
  readonly finish: (confirmation: Confirmation) => void;
}

/** Pending confirmations of one gateway. */
export class EndConfirmation {
  /** Number of probes sent. */
  probes = 0;
  private ends = 0;
  private readonly pending = new Set<PendingEnd>();
  private probing = false;

  constructor(
    private readonly runtime: Pick<Runtime, 'after' | 'afterInput'>,
    private readonly probe: ProbeIncarnation,
  ) {}

  /** Number of ends so far: an answer to what is sent now confirms these. */
  get mark(): number {
    return this.ends;
  }

  /** Calls back once with the outcome, unless cancelled. */
  confirm(instance: string, done: (confirmation: Confirmation) => void): CancelTimer {
    this.ends += 1;
    const cancelTimeout = this.runtime.after(MAX_WAIT_MS, () => {
      // An answer may have arrived, but a late timer fires before it is read.
      this.runtime.afterInput(() => {
        end.finish('timeout');
      });
    });
    const end: PendingEnd = {
      instance,
      number: this.ends,
      finish: (confirmation) => {
        if (!this.pending.delete(end)) return;
        cancelTimeout();
        done(confirmation);
      },
    };
    this.pending.add(end);
    this.startProbe();
    return () => {
      this.pending.delete(end);
      cancelTimeout();
    };
  }

  /** Records an answer of an incarnation to what was sent at `mark`. */
  recordAnswer(instance: string, mark: number): void {
    for (const end of [...this.pending])
      if (end.instance === instance && end.number <= mark) end.finish('confirmed');
  }

  private startProbe(): void {
    const [first] = this.pending;
    if (this.probing || first === undefined) return;
    this.probing = true;
    this.probes += 1;
    const { mark } = this;
    void this.probe(first.instance).then((state) => {
      this.probing = false;
      if (state === 'present') this.recordAnswer(first.instance, mark);
      if (state === 'ended') this.failEnds(first.instance);
      if (state !== 'unknown') this.startProbe();
      else
        this.runtime.after(PROBE_PAUSE_MS, () => {
          this.startProbe();
        });
    });
  }

  private failEnds(instance: string): void {
    for (const end of [...this.pending]) if (end.instance === instance) end.finish('ended');
  }
}
