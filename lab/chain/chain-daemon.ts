/** One daemon of a simulated chain, which uses the real decisions of a sidecar, and its back end. */
import { LAST_KEY, type BackendInstance } from '../../src/directory/directory-state.js';
import type { Link, LinkRequest, RequestHandlers } from '../../src/link/link-client.js';
import type { RequestHead } from '../../src/link/link-messages.js';
import type { AcceptedRequest, RequestReply } from '../../src/link/link-server.js';
import { AnswerWindows } from '../../src/sidecar/answer-windows.js';
import { BackendChooser } from '../../src/sidecar/backend-chooser.js';
import { BackendGateway } from '../../src/sidecar/backend-gateway.js';
import { ColdStartLimit } from '../../src/sidecar/cold-start-limit.js';
import { NO_CRASH_GUARD } from '../../src/sidecar/crash-guard.js';
import { BackendProber } from '../../src/sidecar/backend-prober.js';
import { BackendView } from '../../src/sidecar/backend-view.js';
import type { CallerSink, UnansweredOutcome } from '../../src/sidecar/caller-request.js';
import { DirectoryTable } from '../../src/sidecar/directory-table.js';
import { createForwarderCounters } from '../../src/sidecar/forwarder-counters.js';
import { DEFAULT_HEADER_DIALECT } from '../../src/sidecar/header-dialect.js';
import { ForwardedRequest, type ForwarderPorts } from '../../src/sidecar/request-forwarder.js';
import { RequestIntake } from '../../src/sidecar/request-intake.js';
import { RetryAllowance } from '../../src/sidecar/retry-allowance.js';
import { StatedLeaves } from '../../src/sidecar/stated-leaves.js';
import { SILENT_EVENT_LOG } from '../../src/telemetry/event-log.js';
import { NO_LATENCIES } from '../../src/telemetry/latencies.js';
import type { Random } from '../random.js';
import { ChainBackend } from './chain-backend.js';
import type { ChainReport } from './chain-report.js';
import { CHAIN_HOST, type ChainMachine, type ChainSettings } from './chain-settings.js';
import type { ChainSpec } from './chain-spec.js';
import type { ChainTime } from './chain-time.js';

/** Retry budget of all daemons together: a ratio of the requests, and a fixed number per window. */
const RETRY_BUDGET = { ratio: 0.2, extra: 60, windowMs: 10_000 };

/** Link bandwidth in bytes per ms: 1 Gbit/s. */
const LINK_BYTES_PER_MS = 125_000;

/** Dependencies of a daemon. */
export interface ChainDaemonPorts {
  readonly spec: ChainSpec;
  readonly time: ChainTime;
  readonly random: Random;
  readonly settings: ChainSettings;
  readonly daemons: ReadonlyMap<string, ChainDaemon>;
  readonly report: ChainReport;
}

/** A request to a daemon, from a caller or from its back end. */
export interface ChainRequest {
  readonly path: string;
  readonly deadlineMs: number;
}

/** Callbacks for the outcome of a request; exactly one of them is called. */
export interface ChainRequestHandlers {
  onAnswer(statusCode: number): void;
  onUnanswered(outcome: UnansweredOutcome): void;
}

/** A daemon of the chain. */
export class ChainDaemon {
  readonly gateway: BackendGateway;
  private readonly table = new DirectoryTable();
  private readonly views = new Map<string, BackendView>();
  private readonly links = new Map<string, Link>();
  private readonly allowances = new Map<string, RetryAllowance>();
  private readonly counters = createForwarderCounters();
  private readonly statedLeaves: StatedLeaves;
  private readonly chooser: BackendChooser;
  private readonly prober: BackendProber;
  private readonly intake: RequestIntake;
  /** Time in ms until which the processor of this daemon is busy. */
  private busyUntilMs = 0;

  constructor(
    readonly place: ChainMachine,
    private readonly ports: ChainDaemonPorts,
  ) {
    const { time, random, settings, report } = ports;
    this.table.replace(1, settings.directory);
    this.statedLeaves = new StatedLeaves({ runtime: time.runtime, log: SILENT_EVENT_LOG, drainMs: Infinity });
    this.chooser = new BackendChooser({
      table: this.table,
      zone: 'zone',
      daemonAddress: place.id,
      linkBytesPerMs: LINK_BYTES_PER_MS,
      view: (id) => this.viewOf(id),
      statedLeaves: this.statedLeaves,
      nowMs: () => time.queue.nowMs,
      random: () => random.fraction(),
    });
    this.prober = new BackendProber({
      runtime: time.runtime,
      view: (id) => this.viewOf(id),
      sendProbe: (instance) => {
        this.sendProbe(instance);
      },
    });
    this.intake = new RequestIntake({
      runtime: time.runtime,
      table: this.table,
      dialect: DEFAULT_HEADER_DIALECT,
      service: place.service,
      tableIsCurrent: () => true,
      findParent: () => null,
    });
    const backend = new ChainBackend({ spec: ports.spec, time, random, report, daemon: this });
    this.gateway = this.makeGateway(backend);
    this.gateway.setSlots(place.slots);
  }

  /** Handles a request of a caller, or a call of this daemon's back end. */
  acceptRequest(request: ChainRequest, handlers: ChainRequestHandlers): void {
    this.handle(() => {
      this.forward(request, handlers);
    });
  }

  private forward({ path, deadlineMs }: ChainRequest, handlers: ChainRequestHandlers): void {
    this.ports.report.requests += 1;
    const prepared = this.intake.prepare({
      method: 'POST',
      path,
      host: CHAIN_HOST,
      headers: [
        DEFAULT_HEADER_DIALECT.requestId,
        `chain-${this.ports.report.requests}`,
        DEFAULT_HEADER_DIALECT.deadlineMs,
        String(deadlineMs),
        DEFAULT_HEADER_DIALECT.key,
        String(this.ports.random.below(LAST_KEY + 1)),
      ],
      body: Buffer.alloc(0),
    });
    if ('statusCode' in prepared) throw new Error(`invariant broken: ${prepared.reason}`);
    this.allowanceOf(prepared.service).recordRequest(this.ports.time.queue.nowMs);
    const sink: CallerSink = {
      answer: (head) => {
        handlers.onAnswer(head.statusCode);
      },
      body: () => undefined,
      end: () => undefined,
      hasRequestsBehind: () => false,
      overdue: () => undefined,
      abort: () => undefined,
      fail: (outcome) => {
        handlers.onUnanswered(outcome);
      },
    };
    new ForwardedRequest(prepared, sink, this.forwarderPorts(), this.counters).start();
  }

  /** Processes a message once the processor of this daemon is free. */
  private handle(work: () => void): void {
    const { time, spec } = this.ports;
    this.busyUntilMs = Math.max(this.busyUntilMs, time.queue.nowMs) + spec.messageMs;
    time.queue.at(this.busyUntilMs, work);
  }

  /** Sends a message to another daemon, which then runs `work`. */
  private transmit(to: ChainDaemon, work: () => void): void {
    const { time, spec, report } = this.ports;
    const sameDaemon = to === this;
    if (!sameDaemon) report.messages += 1;
    time.queue.at(time.queue.nowMs + (sameDaemon ? 0 : spec.networkMs), () => {
      to.handle(work);
    });
  }

  private sendProbe({ id }: BackendInstance): void {
    const target = this.daemon(id);
    this.transmit(target, () => {
      const status = target.gateway.status();
      if (status === null) return;
      target.transmit(this, () => {
        this.viewOf(id).recordStatus(status, this.ports.time.queue.nowMs);
        this.prober.answered(id);
      });
    });
  }

  private send(id: string, head: RequestHead, body: Buffer, handlers: RequestHandlers): LinkRequest {
    const target = this.daemon(id);
    let cancelled = false;
    let accepted: AcceptedRequest | null = null;
    const sendBack = (deliver: () => void): void => {
      target.transmit(this, () => {
        if (!cancelled) deliver();
      });
    };
    const reply = makeReply(handlers, sendBack, () => (this.ports.report.refusals += 1));
    this.transmit(target, () => {
      if (!cancelled) accepted = target.gateway.accept(head, body, reply);
    });
    return {
      cancel: () => {
        cancelled = true;
        this.transmit(target, () => accepted?.cancel('cancelled'));
      },
      withdraw: () => {
        this.transmit(target, () => accepted?.withdraw());
      },
      grant: () => undefined,
    };
  }

  private daemon(id: string): ChainDaemon {
    const daemon = this.ports.daemons.get(id);
    if (daemon === undefined) throw new Error(`invariant broken: no daemon ${id}`);
    return daemon;
  }

  private viewOf(id: string): BackendView {
    const known = this.views.get(id);
    if (known !== undefined) return known;
    const view = new BackendView();
    this.views.set(id, view);
    return view;
  }

  private linkTo({ id }: BackendInstance): Link {
    const known = this.links.get(id);
    if (known !== undefined) return known;
    const link: Link = {
      unreachable: false,
      outstanding: 0,
      request: (head, body, handlers) => this.send(id, head, body, handlers),
      probe: () => undefined,
      stop: () => undefined,
    };
    this.links.set(id, link);
    return link;
  }

  private forwarderPorts(): ForwarderPorts {
    const { time, daemons } = this.ports;
    return {
      runtime: time.runtime,
      log: SILENT_EVENT_LOG,
      chooser: this.chooser,
      statedLeaves: this.statedLeaves,
      prober: this.prober,
      windows: new AnswerWindows(),
      view: (id) => this.viewOf(id),
      linkTo: (instance) => this.linkTo(instance),
      mayRepeat: () => true,
      takeRepeat: (service) => this.allowanceOf(service).takeRepeat(time.queue.nowMs, daemons.size),
      tableIndex: () => 1,
      latencies: NO_LATENCIES,
      onCallEnded: () => undefined,
    };
  }

  private allowanceOf(service: string): RetryAllowance {
    const known = this.allowances.get(service);
    if (known !== undefined) return known;
    const allowance = new RetryAllowance(RETRY_BUDGET);
    this.allowances.set(service, allowance);
    return allowance;
  }

  private makeGateway(backend: ChainBackend): BackendGateway {
    return new BackendGateway({
      runtime: this.ports.time.runtime,
      log: SILENT_EVENT_LOG,
      service: this.place.service,
      latencies: NO_LATENCIES,
      pacer: null,
      backend,
      coldLimit: new ColdStartLimit({ factor: 1, slack: 0 }, 0),
      probeIncarnation: () => Promise.resolve('present'),
      guard: NO_CRASH_GUARD,
      instance: () => this.place.id,
      awaitsBackend: () => false,
      closesAtMs: () => Infinity,
      endsAtMs: () => Infinity,
      leaving: () => false,
      holdsKey: () => true,
      ownsKey: () => true,
      stalledMs: () => 0,
      onAnswer: () => undefined,
      onWork: () => undefined,
    });
  }
}

/** Returns a reply that sends the answers of a gateway back to the requesting daemon. */
function makeReply(
  handlers: RequestHandlers,
  sendBack: (deliver: () => void) => void,
  recordRefusal: () => void,
): RequestReply {
  return {
    refuse: (head) => {
      recordRefusal();
      sendBack(() => {
        handlers.onRefusal(head);
      });
    },
    fail: (head) => {
      sendBack(() => {
        handlers.onFailure(head);
      });
    },
    answer: (head, body) => {
      sendBack(() => {
        handlers.onAnswer(head, body);
      });
    },
    body: () => true,
    end: () => undefined,
    onDrain: () => undefined,
  };
}
