/**
 * Requests under which back ends end, as one router sees them: which may be tried, and what to tell control. A router shares
 * its back ends with others and cannot keep one free of their requests, so a suspect runs by permit, beside what others send
 * there; it counts as alone where this router ran nothing else.
 */
import { sessionIncarnation } from '../control/control-state.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { RunNotice, RunRequest } from '../quarantine/crash-messages.js';
import { EndReporter, type EndedLife } from '../quarantine/end-reporter.js';
import { InterruptedRuns } from '../quarantine/interrupted-runs.js';
import type { Judged, QuarantineView } from '../quarantine/quarantine-view.js';
import { saysOfRun } from '../quarantine/run-answer.js';
import { requestFingerprint, type IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import { RunPermits } from '../quarantine/run-permits.js';
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventFields } from '../telemetry/event-log.js';
import { isListening } from '../transport/listen-check.js';

/** Longest wait for a permit, in ms: some runs of the same request elsewhere. */
const LONGEST_PERMIT_WAIT_MS = 600;

/** Pause between looks at a permit that is awaited, in ms. */
const PERMIT_LOOK_MS = 20;

/** Back ends of this stack tell no version of their software: a session after a repair looks like any other. */
const NO_VERSION = '';

/** What the guard needs of its router. */
export interface RunGuardPorts {
  readonly runtime: Runtime;
  readonly quarantine: QuarantineView;
  readonly send: (request: RunRequest) => boolean;
  /** The session of a back end; null while it has none. */
  readonly sessionOf: (backend: string) => number | null;
  readonly log: (event: string, fields: EventFields) => void;
}

/** A back end that a request goes to. */
export interface GuardedBackend {
  readonly name: string;
  readonly service: string;
  readonly address: SocketAddress;
}

/** A run that was begun. */
export interface GuardedRun {
  readonly requestId: string;
  readonly request: IdentifiedRequest;
  readonly startedMs: number;
  /** Whether this router ran nothing else at the back end. */
  readonly alone: boolean;
  readonly clearance: Clearance;
}

/** Whether a request may run. */
export type Clearance =
  | { readonly kind: 'free' }
  /** Once, by a permit that is to be given back. */
  | { readonly kind: 'permitted'; readonly fingerprint: string }
  | { readonly kind: 'refused' };

interface Watched {
  readonly interrupted: InterruptedRuns;
  readonly reporter: EndReporter;
}

/** The guard of one router. */
export class RunGuard {
  private readonly backends = new Map<string, Watched>();
  private readonly permits: RunPermits;
  /** Suspects that run now. */
  private readonly running = new Set<string>();

  constructor(private readonly ports: RunGuardPorts) {
    this.permits = new RunPermits({
      runtime: ports.runtime,
      send: ports.send,
      isPresent: (life) => this.isPresent(life),
      onPermit: () => undefined,
    });
  }

  /** What holds for a request. */
  judge(request: IdentifiedRequest): Judged {
    return this.ports.quarantine.judge(request, NO_VERSION);
  }

  /** Waits until a request may run at a back end, as long as it is treated as a suspect. */
  async acquire(request: IdentifiedRequest, backend: GuardedBackend, untilMs: number): Promise<Clearance> {
    const { runtime } = this.ports;
    const endMs = Math.min(untilMs, runtime.nowMs() + LONGEST_PERMIT_WAIT_MS);
    for (;;) {
      const { stage, fingerprint } = this.judge(request);
      if (stage === 'free' || fingerprint === null) return { kind: 'free' };
      const life = this.lifeOf(backend);
      if (stage === 'quarantined' || life === null || runtime.nowMs() >= endMs) return { kind: 'refused' };
      if (this.permits.holds(fingerprint, life.id) && !this.running.has(fingerprint)) {
        this.running.add(fingerprint);
        return { kind: 'permitted', fingerprint };
      }
      this.permits.ask(fingerprint, life);
      await pause(this.ports.runtime, PERMIT_LOOK_MS);
    }
  }

  /** A run has ended with an answer of the back end. */
  answered(run: GuardedRun, backend: GuardedBackend, statusCode: number): void {
    this.watched(backend).interrupted.backendAnswered(this.ports.runtime.nowMs());
    const { fingerprint, record } = this.judge(run.request);
    const says = saysOfRun(statusCode);
    if (says !== null && record !== null && fingerprint !== null) {
      this.permits.completed(fingerprint, NO_VERSION, says === 'good');
    }
    this.giveBack(run.clearance, true);
  }

  /** A run has ended without an answer; resolves once it is known whether its back end ended, and that is recorded. */
  async broke(run: GuardedRun, backend: GuardedBackend): Promise<void> {
    const endedMs = this.ports.runtime.nowMs();
    const { interrupted, reporter } = this.watched(backend);
    const fingerprint = requestFingerprint(run.request);
    const { requestId, startedMs, alone } = run;
    const usedMs = Math.round(endedMs - startedMs);
    interrupted.note({ requestId, fingerprint, byBackend: true, alone, endedMs, usedMs });
    await reporter.runBroke();
    this.giveBack(run.clearance, true);
  }

  /** A cleared request was not run, or was broken off from here; `begun`: it may have reached the back end. */
  giveBack(clearance: Clearance, begun: boolean): void {
    if (clearance.kind !== 'permitted') return;
    this.running.delete(clearance.fingerprint);
    this.permits.release(clearance.fingerprint, begun);
  }

  /** Takes an answer of control. */
  receive(notice: RunNotice): void {
    this.permits.receive(notice);
    for (const { reporter } of this.backends.values()) reporter.receive(notice);
  }

  private watched(backend: GuardedBackend): Watched {
    const known = this.backends.get(backend.name);
    if (known !== undefined) return known;
    const interrupted = new InterruptedRuns();
    const reporter = new EndReporter({
      runtime: this.ports.runtime,
      log: {
        event: (name, fields) => {
          this.ports.log(name, fields);
        },
      },
      interrupted,
      life: () => this.lifeOf(backend),
      listens: async () => await isListening(backend.address),
      send: this.ports.send,
    });
    const watched = { interrupted, reporter };
    this.backends.set(backend.name, watched);
    return watched;
  }

  private lifeOf({ name, service }: GuardedBackend): EndedLife | null {
    const session = this.ports.sessionOf(name);
    return session === null ? null : { id: sessionIncarnation(name, session), service, version: NO_VERSION };
  }

  private isPresent(life: string): boolean {
    const name = life.slice(0, life.lastIndexOf('#'));
    const session = this.ports.sessionOf(name);
    return session !== null && sessionIncarnation(name, session) === life;
  }
}
