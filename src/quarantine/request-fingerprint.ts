/**
 * Fingerprints that identify repetitions of a request. They cover its method, host, path, key, credential and body, but no
 * ids, deadlines or the daemon that received it, since these differ between repetitions.
 */
import { createHash } from 'node:crypto';
import { headerValue } from '../sidecar/header-dialect.js';

/** Length in bytes of the truncated SHA-256 digest: finding a collision takes about 2^96 trials. */
const FINGERPRINT_BYTES = 24;

const CREDENTIAL_HEADER = 'authorization';

/** Parts of a request that determine its fingerprint. */
export interface IdentifiedRequest {
  readonly method: string;
  /** Host of the request; null if requests are not routed by host, and it only names the called daemon. */
  readonly host: string | null;
  /** Path and query. */
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  /** Key of the request; null if its service is not partitioned by key. */
  readonly key: string | number | null;
  readonly body: Buffer;
}

/** Cached fingerprints, so that a long body is hashed only once per request. */
const fingerprintCache = new WeakMap<IdentifiedRequest, string>();

/** Returns the fingerprint of a request, cached per request object. */
export function cachedFingerprint(request: IdentifiedRequest): string {
  const fingerprint = fingerprintCache.get(request) ?? requestFingerprint(request);
  fingerprintCache.set(request, fingerprint);
  return fingerprint;
}

/** Computes the fingerprint of a request, in base64url. */
export function requestFingerprint({ method, host, path, headers, key, body }: IdentifiedRequest): string {
  const hash = createHash('sha256');
  const credential = headerValue(headers, CREDENTIAL_HEADER) ?? '';
  const keyText = key === null ? '' : String(key);
  // Each part is prefixed with its length, so that different lists of parts never yield the same bytes.
  for (const part of [method, host ?? '', path, keyText, credential]) hash.update(`${part.length}:${part}`);
  return hash.update(body).digest().subarray(0, FINGERPRINT_BYTES).toString('base64url');
}
