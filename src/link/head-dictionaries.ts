/**
 * Dictionaries with which the first short heads of a connection are compressed. They are part of the wire format that
 * `compactHeads` in a hello stands for: changed ones need another field there.
 */
import { FRAME_KIND } from './link-frame.js';

const STATUS =
  '"status":{"instance":"@17","running":0,"waiting":0,"slots":8,"serviceMs":100,"accepting":true,' +
  '"sendWaitMs":0,"pacing":null,"pace":1,"meanPace":1}}';

const REQUEST =
  '"accept-encoding","gzip, deflate","accept","*/*","user-agent","content-type","text/plain","Content-Type",' +
  '"application/json","connection","keep-alive"{"requestId":"","method":"GET","POST","path":"/","headers":' +
  '["host","","content-length","Content-Length",""],"instance":"@17","key":null,"route":"","priority":1,' +
  '"repeatable":false,"repeatable":true,"remainingMs":1000,"patienceMs":100,"targetLeftMs":1000,"spentMs":0}';

const ANSWER =
  '{"statusCode":200,"headers":["date","server","content-type","text/plain","Content-Type","application/json"],' +
  `"moreFollows":false,"contentLength":400,"framed":true,"timing":{"waitedMs":0,"backendMs":100},${STATUS}`;

const REFUSAL =
  '"rate-limited","leaving","unknown-instance","not-owner","unreachable","cancelled","declined","quarantined",' +
  `"arrived":true{"reason":"busy","arrived":false,"retryAfterMs":100,${STATUS}`;

const FAILURE = `{"reason":"broken","garbled","deadline","detail":"","status":null}${STATUS}`;

/** Dictionaries by kind of frame; kinds without one begin with an empty dictionary. */
export const INITIAL_DICTIONARIES: ReadonlyMap<number, Buffer> = new Map([
  [FRAME_KIND.request, Buffer.from(REQUEST)],
  [FRAME_KIND.answer, Buffer.from(ANSWER)],
  [FRAME_KIND.refusal, Buffer.from(REFUSAL)],
  [FRAME_KIND.failure, Buffer.from(FAILURE)],
  [FRAME_KIND.status, Buffer.from(STATUS)],
]);
