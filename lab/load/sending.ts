/** One sending (attempt) of a request by a caller, and its result as the caller sees it. */
import { Agent, type Dispatcher } from 'undici';
import { steadyMs } from '../../src/runtime/clock.js';
import { DownloadChecker } from '../backend/download-body.js';
import type { CallerOutcome, Operation } from '../journal.js';

/** Request to send. */
export interface SendingRequest {
  readonly routerUrl: string;
  readonly service: string;
  readonly key: string;
  readonly operation: Operation;
  readonly sendingId: string;
  readonly idempotencyKey: string | null;
  readonly deadlineMs: number;
  readonly downloadBytes: number;
}

/** Result of one sending. */
export interface SendingResult {
  readonly status: number;
  readonly outcome: CallerOutcome;
  readonly detail: string;
  readonly retryAfterMs: number | null;
  readonly sentMs: number;
  readonly endedMs: number;
}

/** Time in ms beyond the deadline after which a caller aborts a request to a router. */
const GRACE_AFTER_DEADLINE_MS = 1_500;

const MIN_ERROR_STATUS = 400;

const PATHS: Readonly<Record<Operation, string>> = {
  lookup: 'items',
  confirmation: 'confirm',
  download: 'download',
};

/** Creates the HTTP agent that all callers share. */
export function createCallerAgent(): Agent {
  return new Agent({ connections: 256, pipelining: 1, keepAliveTimeout: 4_000, connect: { timeout: 1_000 } });
}

/** Sends a request once. Failures are returned as results; the promise never rejects. */
export async function sendOnce(agent: Agent, request: SendingRequest): Promise<SendingResult> {
  const sentMs = steadyMs();
  const withTimes = (result: Omit<SendingResult, 'sentMs' | 'endedMs'>): SendingResult => {
    return { ...result, sentMs, endedMs: steadyMs() };
  };
  try {
    const response = await agent.request({
      origin: request.routerUrl,
      method: request.operation === 'confirmation' ? 'POST' : 'GET',
      path: pathOf(request),
      headers: headersOf(request),
      signal: AbortSignal.timeout(
        request.deadlineMs + GRACE_AFTER_DEADLINE_MS + downloadAllowanceMs(request),
      ),
    });
    return withTimes(await readResponse(request, response));
  } catch (error) {
    return withTimes(describeFailure(error));
  }
}

function downloadAllowanceMs(request: SendingRequest): number {
  return request.operation === 'download' ? 30_000 : 0;
}

function pathOf(request: SendingRequest): string {
  const path = `/${request.service}/${PATHS[request.operation]}/${encodeURIComponent(request.key)}`;
  return request.operation === 'download' ? `${path}?bytes=${request.downloadBytes}` : path;
}

function headersOf(request: SendingRequest): Record<string, string> {
  const headers: Record<string, string> = {
    'x-sending-id': request.sendingId,
    'aldertide-deadline-ms': String(request.deadlineMs),
  };
  if (request.idempotencyKey !== null) headers['idempotency-key'] = request.idempotencyKey;
  return headers;
}

type UntimedResult = Omit<SendingResult, 'sentMs' | 'endedMs'>;

async function readResponse(
  request: SendingRequest,
  response: Dispatcher.ResponseData,
): Promise<UntimedResult> {
  const status = response.statusCode;
  if (status >= MIN_ERROR_STATUS) return await readRefusal(status, response);
  const correct =
    request.operation === 'download'
      ? await checkDownload(request, response)
      : await checkAnswer(request, response);
  const outcome = correct ? 'answered' : 'wrong-answer';
  return { status, outcome, detail: '', retryAfterMs: null };
}

async function readRefusal(status: number, response: Dispatcher.ResponseData): Promise<UntimedResult> {
  const text = await response.body.text();
  const notRun = response.headers['aldertide-outcome'] === 'not-run';
  const retryAfter = response.headers['aldertide-retry-after-ms'];
  const retryAfterMs = typeof retryAfter === 'string' ? Number(retryAfter) : null;
  const code = /refusal:([a-z-]+)/.exec(text)?.[1] ?? text.slice(0, 80);
  return { status, outcome: notRun ? 'refused' : 'unknown', detail: code, retryAfterMs };
}

/** Checks key and sending id; a replayed answer carries the id of the sending that ran, so only its key is checked. */
async function checkAnswer(request: SendingRequest, response: Dispatcher.ResponseData): Promise<boolean> {
  const body = (await response.body.json()) as { key?: unknown; sendingId?: unknown };
  const replayed = response.headers['aldertide-replayed'] === 'true';
  return body.key === request.key && (replayed || body.sendingId === request.sendingId);
}

async function checkDownload(request: SendingRequest, response: Dispatcher.ResponseData): Promise<boolean> {
  const checker = new DownloadChecker();
  for await (const chunk of response.body) checker.push(chunk as Buffer);
  return checker.isComplete(request.downloadBytes) && response.headers['x-sending-id'] === request.sendingId;
}

function describeFailure(error: unknown): UntimedResult {
  const { code, name, message } = error as NodeJS.ErrnoException;
  const detail = code ?? `${name}: ${message}`;
  // Of all connection failures, only a refused connection proves that nothing was sent.
  const outcome = code === 'ECONNREFUSED' ? 'refused' : 'unknown';
  return { status: 0, outcome, detail, retryAfterMs: null };
}
