/**
 * Probes the sidecars of back ends for their load. Status is fetched on demand, so its age and cost do not depend on
 * the number of sidecars. Only back ends whose answers have not reported it recently are probed, and the rate of probes
 * is limited, so the cost does not grow with the load either.
 */
import { TokenBucket } from '../control/token-bucket.js';
import type { BackendInstance } from '../directory/directory-state.js';
import { policyIsOn } from '../policy-switches.js';
import type { CancelTimer, Runtime } from '../runtime/runtime.js';
import type { BackendView } from './backend-view.js';

/** Maximum age in ms of a status that needs no probe: about the one-way network latency between zones. */
const MAX_FRESH_STATUS_AGE_MS = 5;

/**
 * Maximum wait in ms for the answers to probes. A sidecar that takes longer has a congested network link; one slice of
 * a large answer occupies a link of 4.5 Mbit/s for 15 ms.
 */
const PROBE_TIMEOUT_MS = 30;

/**
 * Burst size and rate per second of the probes of one sidecar: enough to probe three back ends for each of ten requests
 * per second. At higher request rates the answers themselves report as much.
 */
const PROBE_BURST = 30;
const PROBES_PER_SECOND = 30;

/** Dependencies that the sidecar provides to the prober. */
export interface ProberPorts {
  readonly runtime: Runtime;
  readonly view: (instance: string) => BackendView;
  /** Sends a probe; the answer arrives as a status. */
  readonly sendProbe: (instance: BackendInstance) => void;
}

/** Called once when a round of probes ends, with the back ends that have not answered. */
export type ProbesDone = (unanswered: ReadonlySet<string>) => void;

/** Probes sent together, and the back ends whose answers are still awaited. */
interface ProbeRound {
  readonly awaited: Set<string>;
  readonly done: ProbesDone;
  cancelTimer: CancelTimer;
}

/** Sends probes and waits for their answers. */
export class BackendProber {
  /** Number of probes sent. */
  sent = 0;
  /** Number of rounds that timed out before all back ends had answered. */
  unanswered = 0;
  private readonly rounds = new Set<ProbeRound>();
  private readonly rateLimit: TokenBucket;

  constructor(private readonly ports: ProberPorts) {
    this.rateLimit = new TokenBucket(PROBE_BURST, PROBES_PER_SECOND, ports.runtime.nowMs());
  }

  /**
   * Probes back ends without a fresh status and calls `done` once, at once if none is probed. Returns a function that
   * cancels the round without calling `done`.
   */
  probe(instances: readonly BackendInstance[], done: ProbesDone): () => void {
    const probed = this.withinRateLimit(this.withoutFreshStatus(instances));
    const awaited = new Set(probed.map(({ id }) => id));
    const round: ProbeRound = { awaited, done, cancelTimer: () => undefined };
    if (probed.length === 0) {
      done(awaited);
      return () => undefined;
    }
    this.rounds.add(round);
    round.cancelTimer = this.ports.runtime.after(PROBE_TIMEOUT_MS, () => {
      // Answers may have arrived, but a late timer fires before they are read.
      this.ports.runtime.afterInput(() => {
        if (!this.rounds.delete(round)) return;
        this.unanswered += 1;
        done(awaited);
      });
    });
    this.send(probed);
    return () => {
      round.cancelTimer();
      this.rounds.delete(round);
    };
  }

  /** Probes back ends without a fresh status for later selections, without waiting for the answers. */
  refresh(instances: readonly BackendInstance[]): void {
    this.send(this.withinRateLimit(this.withoutFreshStatus(instances)));
  }

  /** Records that a status of a back end has arrived, whether it was probed or not. */
  answered(instance: string): void {
    for (const round of [...this.rounds]) {
      if (!round.awaited.delete(instance) || round.awaited.size > 0) continue;
      this.rounds.delete(round);
      round.cancelTimer();
      round.done(round.awaited);
    }
  }

  private withoutFreshStatus(instances: readonly BackendInstance[]): readonly BackendInstance[] {
    const nowMs = this.ports.runtime.nowMs();
    return instances.filter(({ id }) => {
      const view = this.ports.view(id);
      return policyIsOn('known-first')
        ? !view.hasFreshStatus(nowMs)
        : view.statusAgeMs(nowMs) > MAX_FRESH_STATUS_AGE_MS;
    });
  }

  /** Returns as many of the back ends as the rate limit allows to probe now. */
  private withinRateLimit(instances: readonly BackendInstance[]): readonly BackendInstance[] {
    if (!policyIsOn('known-first')) return instances;
    return instances.slice(0, this.rateLimit.take(instances.length, this.ports.runtime.nowMs()));
  }

  private send(instances: readonly BackendInstance[]): void {
    for (const instance of instances) {
      this.sent += 1;
      this.ports.sendProbe(instance);
    }
  }
}
