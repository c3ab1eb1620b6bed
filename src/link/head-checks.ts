/**
 * Checks of the heads that a peer daemon sends, which may run another version. They are read for every request, so they
 * are written by hand instead of with `zod`. Fields that are not named here are passed on unread.
 */
import type {
  AnswerHead,
  AnswerTiming,
  CreditHead,
  FailureHead,
  HelloHead,
  PacingEstimate,
  RefusalHead,
  RequestHead,
  StatusHead,
} from './link-messages.js';

/** Statuses that a final answer may have. */
const FIRST_FINAL_STATUS = 200;
const MAX_STATUS = 999;

/** Text that stays on its line, and one that is a single word of it, when it is written in Latin-1 (RFC 9110, 5.5). */
const LINE_TEXT = /^[\t\x20-\x7e\x80-\xff]*$/;
const WORD = /^[\x21-\x7e\x80-\xff]+$/;

type Fields<T> = Partial<Record<keyof T, unknown>>;

/** Whether a value is the head of a request. `nested` is checked where it is read. */
export function isRequestHead(value: unknown): value is RequestHead {
  const head = fieldsOf<RequestHead>(value);
  return (
    head !== null &&
    isString(head.requestId) &&
    isWord(head.method) &&
    isWord(head.path) &&
    isHeaderList(head.headers) &&
    isString(head.instance) &&
    (head.key === null || isCount(head.key)) &&
    isString(head.route) &&
    isAmount(head.priority) &&
    typeof head.repeatable === 'boolean' &&
    isFinite(head.remainingMs) &&
    isFinite(head.patienceMs) &&
    isFinite(head.targetLeftMs) &&
    isFinite(head.spentMs) &&
    (head.knownLimitPerSecond === undefined || isAmount(head.knownLimitPerSecond)) &&
    (head.windowBytes === undefined || isCount(head.windowBytes))
  );
}

/** Whether a value is credit for an answer. */
export function isCreditHead(value: unknown): value is CreditHead {
  const head = fieldsOf<CreditHead>(value);
  return head !== null && isCount(head.bytes);
}

/** Whether a value is the head of an answer. Its status is checked where statuses are restored. */
export function isAnswerHead(value: unknown): value is AnswerHead {
  const head = fieldsOf<AnswerHead>(value);
  return (
    head !== null &&
    isCount(head.statusCode) &&
    head.statusCode >= FIRST_FINAL_STATUS &&
    head.statusCode <= MAX_STATUS &&
    isHeaderList(head.headers) &&
    typeof head.moreFollows === 'boolean' &&
    (head.contentLength === null || isCount(head.contentLength)) &&
    typeof head.framed === 'boolean' &&
    isTiming(head.timing) &&
    (head.leaving === undefined || head.leaving === true) &&
    (head.endConfirmed === undefined || head.endConfirmed === true) &&
    (head.endsWithLength === undefined || (head.endsWithLength === true && head.contentLength !== null))
  );
}

/** Whether a value is the head of a refusal. `linkFreeInMs` is checked where it is read. */
export function isRefusalHead(value: unknown): value is RefusalHead {
  const head = fieldsOf<RefusalHead>(value);
  return (
    head !== null &&
    isString(head.reason) &&
    typeof head.arrived === 'boolean' &&
    isEstimate(head.retryAfterMs)
  );
}

/** Whether a value is the head of a failure. */
export function isFailureHead(value: unknown): value is FailureHead {
  const head = fieldsOf<FailureHead>(value);
  return head !== null && isString(head.reason) && isString(head.detail);
}

/** Whether a value is the status of a back end. */
export function isStatusHead(value: unknown): value is StatusHead {
  const head = fieldsOf<StatusHead>(value);
  return (
    head !== null &&
    isString(head.instance) &&
    isCount(head.running) &&
    isCount(head.waiting) &&
    isAmount(head.slots) &&
    isEstimate(head.serviceMs) &&
    typeof head.accepting === 'boolean' &&
    isEstimate(head.sendWaitMs) &&
    (head.pacing === null || isPacing(head.pacing)) &&
    (head.limitPerSecond === undefined || isEstimate(head.limitPerSecond)) &&
    isEstimate(head.pace) &&
    isEstimate(head.meanPace)
  );
}

/** Whether a value is the first head of a connection. */
export function isHelloHead(value: unknown): value is HelloHead {
  const head = fieldsOf<HelloHead>(value);
  return head !== null && isString(head.life);
}

function isPacing(value: unknown): value is PacingEstimate {
  const pacing = fieldsOf<PacingEstimate>(value);
  return (
    pacing !== null &&
    isEstimate(pacing.delayMs) &&
    isEstimate(pacing.intervalMs) &&
    isEstimate(pacing.leftMs)
  );
}

function isTiming(value: unknown): value is AnswerTiming {
  const timing = fieldsOf<AnswerTiming>(value);
  return timing !== null && isFinite(timing.waitedMs) && isFinite(timing.backendMs);
}

function fieldsOf<T>(value: unknown): Fields<T> | null {
  return typeof value === 'object' && value !== null ? value : null;
}

/** Whether a value is a list of alternating names and values. */
function isHeaderList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.length % 2 === 0 && value.every(isLineText);
}

function isWord(value: unknown): value is string {
  return isString(value) && WORD.test(value);
}

function isLineText(value: unknown): value is string {
  return isString(value) && LINE_TEXT.test(value);
}

function isString(value: unknown): value is string {
  return typeof value === 'string';
}

function isFinite(value: unknown): value is number {
  return Number.isFinite(value);
}

function isAmount(value: unknown): value is number {
  return isFinite(value) && value >= 0;
}

/** Like an amount; JSON writes one that is not finite as null, which counts as 0. */
function isEstimate(value: unknown): value is number {
  return value === null || isAmount(value);
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
