/**
 * Restricts requests that back ends crash on, for one router: decides which may run, and reports crashes to control.
 * Other routers use the same back ends, and a router cannot exclude their requests from one, so a suspect runs by permit
 * alongside them; it counts as alone if this router has nothing else in flight at the back end.
 */
import { sessionIncarnation } from '../control/control-state.js';
import type { SocketAddress } from '../model/socket-address.js';
import type { RunNotice, RunRequest } from '../quarantine/crash-messages.js';
import { CrashReporter, type VersionedIncarnation } from '../quarantine/end-reporter.js';
import { InterruptedRuns } from '../quarantine/interrupted-runs.js';
import type { RequestClassification, QuarantineView } from '../quarantine/quarantine-view.js';
import { runOutcomeOf } from '../quarantine/run-answer.js';
import { requestFingerprint, type IdentifiedRequest } from '../quarantine/request-fingerprint.js';
import { RunPermits } from '../quarantine/run-permits.js';
import { pause } from '../runtime/pause.js';
import type { Runtime } from '../runtime/runtime.js';
import type { EventFields } from '../telemetry/event-log.js';
import { isListening } from '../transport/listen-check.js';

/** Maximum wait for a permit, in ms: long enough for a few runs of the same request elsewhere. */
const MAX_PERMIT_WAIT_MS = 600;

/** Interval between checks for an awaited permit, in ms. */
const PERMIT_POLL_INTERVAL_MS = 20;

/** Back ends behind a router report no software version, so a session after a fix cannot be told from any other. */
const NO_VERSION = '';

/** Dependencies of the guard. */
export interface RunGuardPorts {
  readonly runtime: Runtime;
  readonly quarantine: QuarantineView;
  readonly send: (request: RunRequest) => boolean;
  /** Returns the session of a back end; null while it has none. */
  readonly sessionOf: (backend: string) => number | null;
  readonly log: (event: string, fields: EventFields) => void;
}

/** Back end that a request is sent to. */
export interface GuardedBackend {
  readonly name: string;
  readonly service: string;
  readonly address: SocketAddress;
}

/** A run that was started. */
export interface GuardedRun {
  readonly requestId: string;
  readonly request: IdentifiedRequest;
  readonly startedMs: number;
  /** Whether this router had no other request in flight at the back end. */
  readonly alone: boolean;
  readonly clearance: Clearance;
}

/** Permission to run a request. */
export type Clearance =
  | { readonly kind: 'free' }
  /** May run once, by a permit that must be released afterwards. */
  | { readonly kind: 'permitted'; readonly fingerprint: string }
  | { readonly kind: 'refused' };

interface BackendMonitor {
  readonly interrupted: InterruptedRuns;
  readonly reporter: CrashReporter;
}

/** Run guard of one router. */
export class RunGuard {
  private readonly backends = new Map<string, BackendMonitor>();
  private readonly permits: RunPermits;
  /** Fingerprints of the suspects in flight. */
  private readonly running = new Set<string>();

  constructor(private readonly ports: RunGuardPorts) {
    this.permits = new RunPermits({
      runtime: ports.runtime,
      send: ports.send,
      isPresent: (incarnation) => this.isPresent(incarnation),
      onPermit: () => undefined,
    });
  }

  /** Returns the quarantine status of a request. */
  quarantineStatus(request: IdentifiedRequest): RequestClassification {
    return this.ports.quarantine.classify(request, NO_VERSION);
  }

  /** Waits until a request may run at a back end; returns at once unless the request is a suspect. */
  async acquire(request: IdentifiedRequest, backend: GuardedBackend, untilMs: number): Promise<Clearance> {
    const { runtime } = this.ports;
    const endMs = Math.min(untilMs, runtime.nowMs() + MAX_PERMIT_WAIT_MS);
    for (;;) {
      const { stage, fingerprint } = this.quarantineStatus(request);
      if (stage === 'free' || fingerprint === null) return { kind: 'free' };
      const incarnation = this.incarnationOf(backend);
      if (stage === 'quarantined' || incarnation === null || runtime.nowMs() >= endMs)
        return { kind: 'refused' };
      if (this.permits.holds(fingerprint, incarnation.id) && !this.running.has(fingerprint)) {
        this.running.add(fingerprint);
        return { kind: 'permitted', fingerprint };
      }
      this.permits.requestPermit(fingerprint, incarnation);
      await pause(this.ports.runtime, PERMIT_POLL_INTERVAL_MS);
    }
  }

  /** Records that a run ended with an answer of the back end. */
  answered(run: GuardedRun, backend: GuardedBackend, statusCode: number): void {
    this.watched(backend).interrupted.handleAnswer(this.ports.runtime.nowMs());
    const { fingerprint, record } = this.quarantineStatus(run.request);
    const verdict = runOutcomeOf(statusCode);
    if (verdict !== null && record !== null && fingerprint !== null) {
      this.permits.reportCompletion(fingerprint, NO_VERSION, verdict === 'good');
    }
    this.releaseClearance(run.clearance, true);
  }

  /**
   * Records that a run ended without an answer. Resolves once the back end is known to be live or its end is recorded,
   * at the latest after the maximum wait of the reporter.
   */
  async runInterrupted(run: GuardedRun, backend: GuardedBackend): Promise<void> {
    const endedMs = this.ports.runtime.nowMs();
    const { interrupted, reporter } = this.watched(backend);
    const fingerprint = requestFingerprint(run.request);
    const { requestId, startedMs, alone } = run;
    const usedMs = Math.round(endedMs - startedMs);
    interrupted.add({ requestId, fingerprint, byBackend: true, alone, endedMs, usedMs });
    await reporter.handleInterruptedRun();
    this.releaseClearance(run.clearance, true);
  }

  /** Releases the permit of a request; `begun` is true if the request may have reached the back end. */
  releaseClearance(clearance: Clearance, begun: boolean): void {
    if (clearance.kind !== 'permitted') return;
    this.running.delete(clearance.fingerprint);
    this.permits.release(clearance.fingerprint, begun);
  }

  /** Handles an answer of control. */
  receive(notice: RunNotice): void {
    this.permits.handleNotice(notice);
    for (const { reporter } of this.backends.values()) reporter.handleNotice(notice);
  }

  private watched(backend: GuardedBackend): BackendMonitor {
    const existing = this.backends.get(backend.name);
    if (existing !== undefined) return existing;
    const interrupted = new InterruptedRuns();
    const reporter = new CrashReporter({
      runtime: this.ports.runtime,
      log: {
        event: (name, fields) => {
          this.ports.log(name, fields);
        },
      },
      interrupted,
      life: () => this.incarnationOf(backend),
      listens: async () => await isListening(backend.address),
      send: this.ports.send,
    });
    const monitor = { interrupted, reporter };
    this.backends.set(backend.name, monitor);
    return monitor;
  }

  private incarnationOf({ name, service }: GuardedBackend): VersionedIncarnation | null {
    const session = this.ports.sessionOf(name);
    return session === null ? null : { id: sessionIncarnation(name, session), service, version: NO_VERSION };
  }

  private isPresent(incarnation: string): boolean {
    const name = incarnation.slice(0, incarnation.lastIndexOf('#'));
    const session = this.ports.sessionOf(name);
    return session !== null && sessionIncarnation(name, session) === incarnation;
  }
}
