/**
 * Asks daemons beside back ends how busy they are, just before one of them is chosen. Knowledge is fetched where it is
 * used, so that its age and its cost do not depend on how many daemons there are.
 */
import type { BackendInstance } from '../directory/directory-state.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { BackendView } from './backend-view.js';

/** Age in ms up to which a status needs no probe: about one way over a network between zones. */
const FRESH_STATUS_MS = 5;

/**
 * Longest wait for the answers to probes, in ms. A daemon that cannot answer in it has a crowded network link; a
 * slice of a large answer takes 15 ms of a link of 4.5 Mbit/s.
 */
const PROBE_WAIT_MS = 30;

/** Age in ms up to which a status came from a probe for the present choice: two rounds may follow each other. */
export const PROBED_AGE_LIMIT_MS = FRESH_STATUS_MS + 2 * PROBE_WAIT_MS;

/** What a prober needs of its daemon. */
export interface ProberPorts {
  readonly runtime: Runtime;
  readonly view: (instance: string) => BackendView;
  /** Sends a probe; the answer comes back as a status. */
  readonly sendProbe: (instance: BackendInstance) => void;
}

/** A set of probes whose answers are awaited. */
interface Round {
  readonly awaited: Set<string>;
  readonly done: () => void;
  cancelTimer: CancelTimer;
}

/** Sends probes and waits for their answers. */
export class BackendProber {
  /** Probes that were sent. */
  sent = 0;
  /** Rounds that ended before all had answered. */
  unanswered = 0;
  private readonly rounds = new Set<Round>();

  constructor(private readonly ports: ProberPorts) {}

  /** Probes back ends whose state is not known freshly; calls `done` once. Returns how the round is given up. */
  probe(instances: readonly BackendInstance[], done: () => void): () => void {
    const nowMs = this.ports.runtime.nowMs();
    const unknown = instances.filter(({ id }) => this.ports.view(id).statusAgeMs(nowMs) > FRESH_STATUS_MS);
    const awaited = new Set(unknown.map(({ id }) => id));
    const round: Round = { awaited, done, cancelTimer: () => undefined };
    if (unknown.length === 0) {
      done();
      return () => undefined;
    }
    this.rounds.add(round);
    round.cancelTimer = this.ports.runtime.after(PROBE_WAIT_MS, () => {
      this.rounds.delete(round);
      this.unanswered += 1;
      done();
    });
    for (const instance of unknown) {
      this.sent += 1;
      this.ports.sendProbe(instance);
    }
    return () => {
      round.cancelTimer();
      this.rounds.delete(round);
    };
  }

  /** A status of a back end has come, whether it was asked for or not. */
  answered(instance: string): void {
    for (const round of [...this.rounds]) {
      if (!round.awaited.delete(instance) || round.awaited.size > 0) continue;
      this.rounds.delete(round);
      round.cancelTimer();
      round.done();
    }
  }
}
