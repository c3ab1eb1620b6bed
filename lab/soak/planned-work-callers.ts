/**
 * Callers of the soak of planned work. Each has one kept connection to its daemon and uses it until the daemon closes it:
 * short and long work, downloads, slow readers, bodies that take time, several requests at once, and requests right behind
 * an answer that announces the end of the connection. Callers of a pool send one request at a time, as soon as the answer before it
 * is whole; pipelined callers do not wait for it.
 */
import type { SocketAddress } from '../../src/model/socket-address.js';
import { headerValue } from '../../src/sidecar/header-dialect.js';
import { PLATFORM_HEADERS } from '../../platform/stand-in-wire.js';
import { pause } from '../pause.js';
import { Random } from '../random.js';
import { KeptConnection, type KeptAnswer, type KeptRequest, type KeptSending } from './kept-connection.js';
import type { StallLog } from './large/stall-log.js';
import {
  drawDeadline,
  drawPipeline,
  drawUse,
  drawWork,
  routeKinds,
  type CallerGroup,
  type Use,
} from './planned-work-requests.js';
import type { PlannedWorkRoute } from './planned-work-routes.js';
import { expectedBody } from './soak-backend.js';
import type { AnswerTimes } from './answer-times.js';
import type { SoakJudge } from './soak-judge.js';
import { readStatedWork, StreamContent, workSuffix } from './stated-work.js';
import type { RequestRecords } from './request-records.js';

const KIB = 1024;
const MS_PER_SECOND = 1_000;

/** Time in ms between attempts to connect, mean pause between requests, and time to wait for an announced close. */
const RECONNECT_MS = 150;
const MEAN_PAUSE_MS = 120;
const ANNOUNCED_CLOSE_MS = 3_000;

/** Share of the answers announcing a close behind which another request is sent. */
const SEND_AFTER_ANNOUNCEMENT_SHARE = 0.5;

/** Longest pause in ms between the head of a download and a request behind it. */
const MAX_BEHIND_HEAD_MS = 800;

const LAST_KEY = 65_535;
const STATUS = { ok: 200, firstNotSuccess: 300 } as const;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Pauses in ms of callers of a pool: none in a share of the cases and up to a time during a rush, longer ones otherwise. */
const NO_PAUSE_SHARE = 0.4;
const MAX_RUSH_PAUSE_MS = 700;
const MIN_QUIET_PAUSE_MS = 500;
const MAX_QUIET_PAUSE_MS = 3_000;

/** Range of the time in ms for which a caller of a pool waits after a refusal. */
const MIN_BACK_OFF_MS = 300;
const MAX_BACK_OFF_MS = 1_000;

/** Longest pause in ms between requests that do not wait for the answers before them. */
const MAX_PIPELINED_PAUSE_MS = 600;

/** Numbers of requests by outcome. */
export interface PlannedWorkCounts {
  sent: number;
  answered: number;
  refused: number;
  failed: number;
  /** Requests whose connection closed without a complete answer. */
  closed: number;
  /** Requests that were not sent completely when their connection closed. */
  incomplete: number;
}

/** What all callers share. */
export interface PlannedWorkCallerPorts {
  readonly judge: SoakJudge;
  readonly records: RequestRecords;
  readonly stalls: StallLog;
  readonly routes: readonly PlannedWorkRoute[];
  readonly counts: PlannedWorkCounts;
  readonly times: Readonly<Record<CallerGroup, AnswerTimes>>;
  /** Whether callers of a pool pause shortly at present. */
  readonly isRush: () => boolean;
}

/** A request in flight. */
interface Flight {
  readonly route: PlannedWorkRoute;
  readonly content: StreamContent | null;
  readonly onHead: () => void;
  readonly onEnd: () => void;
  readonly deadlineMs: number;
  isSent: boolean;
  /** Time at which the first byte was written; null before the last one was. */
  begunMs: number | null;
  /** Earliest time at which the head of the answer was received; null before. */
  answerBegunMs: number | null;
  receivedBytes: number;
  text: string;
  matches: boolean;
}

/** A caller of one daemon. */
export class PlannedWorkCaller {
  private readonly random: Random;
  private readonly flights = new Map<string, Flight>();
  private stopped = false;
  private wasRefused = false;
  private nextId = 0;

  constructor(
    private readonly name: string,
    private readonly group: CallerGroup,
    seed: number,
    private readonly machine: string,
    private readonly address: SocketAddress,
    private readonly ports: PlannedWorkCallerPorts,
  ) {
    this.random = new Random(seed);
  }

  /** Uses connections one after the other until `stop` is called and all requests have ended. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const connection = this.connect();
      await this.use(connection);
      connection.destroy();
      if (!this.stopped) await pause(RECONNECT_MS);
    }
  }

  /** Begins no more requests. */
  stop(): void {
    this.stopped = true;
  }

  /** Forgets the requests in flight, so that the end of the fleet is not taken for theirs. */
  abandon(): void {
    for (const requestId of [...this.flights.keys()]) this.drop(requestId);
  }

  private async use(connection: KeptConnection): Promise<void> {
    while (!this.stopped && connection.isOpen) {
      if (connection.hasAnnouncedClose && this.random.fraction() >= SEND_AFTER_ANNOUNCEMENT_SHARE) {
        await waitForClose(connection);
        return;
      }
      if (!connection.hasAnnouncedClose) await pause(this.drawPauseMs());
      const use = connection.hasAnnouncedClose ? 'short' : drawUse(this.random, this.group);
      await this.play(connection, use);
    }
  }

  private drawPauseMs(): number {
    const { random } = this;
    if (this.group === 'usual') return random.exponential(MEAN_PAUSE_MS);
    if (this.wasRefused) return MIN_BACK_OFF_MS + random.below(MAX_BACK_OFF_MS - MIN_BACK_OFF_MS);
    if (!this.ports.isRush())
      return MIN_QUIET_PAUSE_MS + random.below(MAX_QUIET_PAUSE_MS - MIN_QUIET_PAUSE_MS);
    return random.fraction() < NO_PAUSE_SHARE ? 0 : random.below(MAX_RUSH_PAUSE_MS);
  }

  /** Sends the requests of one use; resolves when all have ended. */
  private async play(connection: KeptConnection, use: Use): Promise<void> {
    switch (use) {
      case 'several': {
        const first = this.send(connection, this.random.below(2) === 0 ? 'long' : 'short');
        const others = Array.from({ length: 1 + this.random.below(2) }, async () => {
          await this.send(connection, 'short').ended;
        });
        await Promise.all([first.ended, ...others]);
        return;
      }
      case 'behind-head': {
        const download = this.send(connection, 'download');
        await download.begun;
        await pause(this.random.below(MAX_BEHIND_HEAD_MS));
        await Promise.all([download.ended, this.send(connection, 'short').ended]);
        return;
      }
      case 'pipelined':
        await this.playPipeline(connection);
        return;
      default:
        await this.send(connection, use).ended;
    }
  }

  private async playPipeline(connection: KeptConnection): Promise<void> {
    const { front, behind } = drawPipeline(this.random);
    const ends = [this.send(connection, front).ended];
    for (const use of behind) {
      await pause(this.random.below(MAX_PIPELINED_PAUSE_MS));
      ends.push(this.send(connection, use).ended);
    }
    await Promise.all(ends);
  }

  private connect(): KeptConnection {
    const connection: KeptConnection = new KeptConnection(this.address, {
      onSent: (request, sending) => {
        this.handleSent(request, sending);
      },
      onHead: ({ requestId }) => {
        const flight = this.flights.get(requestId);
        if (flight === undefined) return;
        flight.answerBegunMs = this.ports.stalls.earliestMs(performance.now());
        flight.onHead();
      },
      onBody: ({ requestId }, chunk) => {
        const flight = this.flights.get(requestId);
        if (flight !== undefined) receiveBody(flight, chunk);
      },
      onAnswer: (request, answer) => {
        this.handleAnswer(request, answer);
      },
      onClosed: () => {
        this.handleClose(connection);
      },
    });
    return connection;
  }

  private send(
    connection: KeptConnection,
    use: Use,
  ): { readonly begun: Promise<void>; readonly ended: Promise<void> } {
    const { random, ports } = this;
    this.nextId += 1;
    const requestId = `${this.name}-${this.nextId}`;
    const kinds = routeKinds(use);
    const route = random.pick(ports.routes.filter(({ kind }) => kinds.includes(kind)));
    const work = drawWork(random, use);
    const path = `${route.prefix}${requestId}${workSuffix(work)}`;
    const deadlineMs = drawDeadline(random, use, work);
    const headers: (readonly [string, string])[] = [
      ['host', route.host],
      [PLATFORM_HEADERS.requestId, requestId],
      [PLATFORM_HEADERS.deadlineMs, String(deadlineMs)],
    ];
    if (route.keyed) headers.push([PLATFORM_HEADERS.key, String(random.below(LAST_KEY + 1))]);
    const request = {
      requestId,
      method: route.kind === 'non_idempotent' ? 'POST' : 'GET',
      path,
      headers,
      bodyBytes: use === 'slow-body' ? (2 + random.below(200)) * KIB : 0,
      bodyMs: use === 'slow-body' ? random.below(4 * MS_PER_SECOND) : 0,
      readRate: use === 'slow-reader' ? (400 + random.below(1_600)) * KIB : null,
    };
    const { stream } = work;
    const content = stream === null ? null : new StreamContent(expectedBody(requestId, path), stream.bytes);
    let onHead = (): void => undefined;
    let onEnd = (): void => undefined;
    const begun = new Promise<void>((resolve) => (onHead = resolve));
    const ended = new Promise<void>((resolve) => (onEnd = resolve));
    const end = (): void => {
      onHead();
      onEnd();
    };
    const flight = {
      route,
      content,
      onHead,
      onEnd: end,
      deadlineMs,
      isSent: false,
      begunMs: null,
      answerBegunMs: null,
      receivedBytes: 0,
      text: '',
      matches: true,
    };
    this.flights.set(requestId, flight);
    if (connection.isOpen) connection.send(request);
    else this.drop(requestId);
    return { begun, ended };
  }

  private handleSent({ requestId }: KeptRequest, sending: KeptSending): void {
    const flight = this.flights.get(requestId);
    if (flight === undefined) return;
    flight.isSent = true;
    flight.begunMs = sending.begunMs;
    this.ports.counts.sent += 1;
    const { name: route, kind } = flight.route;
    const { deadlineMs } = flight;
    const repeatable = kind !== 'non_idempotent';
    this.ports.records.sent({
      requestId,
      machine: this.machine,
      route,
      ...sending,
      sentMs: performance.now(),
      deadlineMs,
      repeatable,
    });
  }

  private handleAnswer({ requestId, path }: KeptRequest, { status, headers }: KeptAnswer): void {
    const flight = this.flights.get(requestId);
    if (flight === undefined) return;
    const { judge, records, counts } = this.ports;
    const nowMs = performance.now();
    const seal = headerValue(headers, PLATFORM_HEADERS.seal);
    const fromBackend = seal !== null || headerValue(headers, PLATFORM_HEADERS.notRun) !== null;
    const atMs = this.ports.stalls.earliestMs(nowMs);
    records.ended(requestId, {
      ...{ atMs, seenMs: nowMs, status, fromBackend },
      cutOffBefore: null,
      answerBegunMs: flight.answerBegunMs,
      isBehindWholeAnswer: false,
    });
    // An answer may be whole before the last byte of its request was written.
    const tookMs = flight.begunMs === null ? 0 : nowMs - flight.begunMs;
    this.ports.times[this.group].answered(status, tookMs, flight.deadlineMs);
    this.wasRefused = NOT_RUN_STATUSES.has(status);
    if (status >= STATUS.ok && status < STATUS.firstNotSuccess) {
      const isWhole = isWholeAnswer(flight, requestId, path) && seal === `seal-${requestId}`;
      if (!isWhole) judge.wrongAnswer(requestId, `status ${status}, ${flight.receivedBytes} bytes`, nowMs);
      counts.answered += 1;
    } else if (NOT_RUN_STATUSES.has(status)) {
      judge.refusedAsNotRun(requestId, flight.route.kind !== 'non_idempotent', nowMs);
      counts.refused += 1;
    } else counts.failed += 1;
    this.drop(requestId);
  }

  /** Requests that are still being written when the connection closes were not sent completely. */
  private handleClose({ wholeAnswers, hasAnnouncedClose }: KeptConnection): void {
    const seenMs = performance.now();
    const atMs = this.ports.stalls.earliestMs(seenMs);
    const [first] = [...this.flights];
    const cutOff = first === undefined || first[1].answerBegunMs === null ? null : first[0];
    for (const [requestId, { isSent, answerBegunMs }] of [...this.flights]) {
      if (isSent) {
        this.ports.counts.closed += 1;
        this.ports.times[this.group].cut();
        this.ports.records.ended(requestId, {
          ...{ atMs, seenMs, answerBegunMs },
          status: null,
          fromBackend: false,
          cutOffBefore: cutOff === requestId ? null : cutOff,
          isBehindWholeAnswer: requestId === first?.[0] && wholeAnswers > 0 && !hasAnnouncedClose,
        });
      } else this.ports.counts.incomplete += 1;
      this.drop(requestId);
    }
  }

  private drop(requestId: string): void {
    const flight = this.flights.get(requestId);
    this.flights.delete(requestId);
    flight?.onEnd();
  }
}

async function waitForClose(connection: KeptConnection): Promise<void> {
  const endMs = performance.now() + ANNOUNCED_CLOSE_MS;
  while (connection.isOpen && performance.now() < endMs) await pause(RECONNECT_MS);
}

function receiveBody(flight: Flight, chunk: Buffer): void {
  if (flight.content === null) flight.text += chunk.toString('latin1');
  else flight.matches &&= flight.content.matches(chunk, flight.receivedBytes);
  flight.receivedBytes += chunk.length;
}

function isWholeAnswer(
  { content, text, matches, receivedBytes }: Flight,
  requestId: string,
  path: string,
): boolean {
  if (readStatedWork(path)?.stream == null) return text === expectedBody(requestId, path);
  return matches && receivedBytes === content?.length;
}
