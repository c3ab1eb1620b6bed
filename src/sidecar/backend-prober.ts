/**
 * Asks daemons beside back ends how busy they are. Knowledge is fetched where it is used, so that its age and its cost
 * do not depend on how many daemons there are; it is asked for only where answers have not told it lately, and never
 * more often than so many times a second, so that its cost does not grow with the load either.
 */
import { TokenBucket } from '../control/token-bucket.js';
import type { BackendInstance } from '../directory/directory-state.js';
import { policyIsOn } from '../policy-switches.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { BackendView } from './backend-view.js';

/** Age in ms up to which a status needs no probe: about one way over a network between zones. */
const FRESH_STATUS_MS = 5;

/**
 * Longest wait for the answers to probes, in ms. A daemon that cannot answer in it has a crowded network link; a
 * slice of a large answer takes 15 ms of a link of 4.5 Mbit/s.
 */
const PROBE_WAIT_MS = 30;

/**
 * Probes that a daemon may send at once, and in a second: enough to ask three back ends for each of ten requests a
 * second. Where there are more requests than that, their answers tell as much.
 */
const PROBE_BURST = 30;
const PROBES_PER_SECOND = 30;

/** What a prober needs of its daemon. */
export interface ProberPorts {
  readonly runtime: Runtime;
  readonly view: (instance: string) => BackendView;
  /** Sends a probe; the answer comes back as a status. */
  readonly sendProbe: (instance: BackendInstance) => void;
}

/** Told once when a round of probes ends, with the back ends that have not answered. */
export type ProbesDone = (unanswered: ReadonlySet<string>) => void;

/** A set of probes whose answers are awaited. */
interface Round {
  readonly awaited: Set<string>;
  readonly done: ProbesDone;
  cancelTimer: CancelTimer;
}

/** Sends probes and waits for their answers. */
export class BackendProber {
  /** Probes that were sent. */
  sent = 0;
  /** Rounds that ended before all had answered. */
  unanswered = 0;
  private readonly rounds = new Set<Round>();
  private readonly allowance: TokenBucket;

  constructor(private readonly ports: ProberPorts) {
    this.allowance = new TokenBucket(PROBE_BURST, PROBES_PER_SECOND, ports.runtime.nowMs());
  }

  /** Probes back ends whose state is not known; calls `done` once. Returns how the round is given up. */
  probe(instances: readonly BackendInstance[], done: ProbesDone): () => void {
    const unknown = this.allowed(this.unknownOf(instances));
    const awaited = new Set(unknown.map(({ id }) => id));
    const round: Round = { awaited, done, cancelTimer: () => undefined };
    if (unknown.length === 0) {
      done(awaited);
      return () => undefined;
    }
    this.rounds.add(round);
    round.cancelTimer = this.ports.runtime.after(PROBE_WAIT_MS, () => {
      this.rounds.delete(round);
      this.unanswered += 1;
      done(awaited);
    });
    this.send(unknown);
    return () => {
      round.cancelTimer();
      this.rounds.delete(round);
    };
  }

  /** Probes back ends whose state is not known, for later choices; nobody waits for the answers. */
  refresh(instances: readonly BackendInstance[]): void {
    this.send(this.allowed(this.unknownOf(instances)));
  }

  /** A status of a back end has come, whether it was asked for or not. */
  answered(instance: string): void {
    for (const round of [...this.rounds]) {
      if (!round.awaited.delete(instance) || round.awaited.size > 0) continue;
      this.rounds.delete(round);
      round.cancelTimer();
      round.done(round.awaited);
    }
  }

  private unknownOf(instances: readonly BackendInstance[]): readonly BackendInstance[] {
    const nowMs = this.ports.runtime.nowMs();
    return instances.filter(({ id }) => {
      const view = this.ports.view(id);
      return policyIsOn('known-first') ? !view.known(nowMs) : view.statusAgeMs(nowMs) > FRESH_STATUS_MS;
    });
  }

  /** As many as may be asked now. */
  private allowed(instances: readonly BackendInstance[]): readonly BackendInstance[] {
    if (!policyIsOn('known-first')) return instances;
    return instances.slice(0, this.allowance.take(instances.length, this.ports.runtime.nowMs()));
  }

  private send(instances: readonly BackendInstance[]): void {
    for (const instance of instances) {
      this.sent += 1;
      this.ports.sendProbe(instance);
    }
  }
}
