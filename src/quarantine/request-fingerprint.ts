/**
 * What makes two requests the same request: method, host, path, key, the caller's credential and body. Ids, deadlines
 * and the daemon where a request came in are left out, since the next coming of the same request has others.
 */
import { createHash } from 'node:crypto';
import { headerValue } from '../sidecar/header-dialect.js';

/** Bytes that are kept of the SHA-256 digest: to find two requests of one digest takes some 2^96 trials. */
const KEPT_BYTES = 24;

const CREDENTIAL_HEADER = 'authorization';

/** The parts of a request that its fingerprint is made of. */
export interface IdentifiedRequest {
  readonly method: string;
  /** Where requests are routed by host; null where the host only names the daemon that was called. */
  readonly host: string | null;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Key of the request; null where its service is not divided by key. */
  readonly key: string | number | null;
  readonly body: Buffer;
}

/** Fingerprints that were worked out, so that a long body is read once for a request. */
const known = new WeakMap<IdentifiedRequest, string>();

/** The fingerprint of a request, worked out once for each of its objects. */
export function fingerprintOf(request: IdentifiedRequest): string {
  const fingerprint = known.get(request) ?? requestFingerprint(request);
  known.set(request, fingerprint);
  return fingerprint;
}

/** The fingerprint of a request, in base64url. */
export function requestFingerprint({ method, host, path, headers, key, body }: IdentifiedRequest): string {
  const hash = createHash('sha256');
  const credential = headerValue(headers, CREDENTIAL_HEADER) ?? '';
  const keyText = key === null ? '' : String(key);
  // Each part stands behind its length, so that no two lists of parts give the same bytes.
  for (const part of [method, host ?? '', path, keyText, credential]) hash.update(`${part.length}:${part}`);
  return hash.update(body).digest().subarray(0, KEPT_BYTES).toString('base64url');
}
