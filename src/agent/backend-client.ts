/** HTTP client for the contract API of a back end. Errors are returned as values; calls are never retried. */
import { Pool } from 'undici';
import type { z } from 'zod';
import {
  CONTRACT_PREFIX,
  holderAnswerSchema,
  releaseAnswerSchema,
  type Claim,
  type Grant,
  type HolderAnswer,
} from '../backend-contract/grant-messages.js';
import type { BackendCallError, BackendPort } from './backend-port.js';
import { HolderName } from './holder-name.js';
import { formatAddress, type SocketAddress } from '../model/socket-address.js';
import { isDelimited, UNDELIMITED_ANSWER } from '../transport/answer-framing.js';
import { Err, Ok, type Result } from '../result.js';

/** Timeout in ms for calls that the back end can answer immediately. */
const CALL_TIMEOUT_MS = 500;

/** Timeout in ms for calls that wait for the requests in flight on a released shard. */
const RELEASE_TIMEOUT_MS = 10_000;

const METHOD = 'PUT';

/** Client for one back end. */
export class BackendClient implements BackendPort {
  private readonly pool: Pool;
  private readonly holder: HolderName;

  constructor(address: SocketAddress, agentInstance: string) {
    this.holder = new HolderName(agentInstance);
    this.pool = new Pool(`http://${formatAddress(address)}`, { connections: 4 });
  }

  /** Makes this agent the only holder; all earlier grants have ended when this succeeds. */
  async takeHolder(): Promise<Result<HolderAnswer, BackendCallError>> {
    this.holder.next();
    return await this.call('holder', {}, holderAnswerSchema, RELEASE_TIMEOUT_MS);
  }

  /** Extends all grants to a new deadline. */
  async extendLease(deadlineMs: number): Promise<Result<HolderAnswer, BackendCallError>> {
    return await this.call('lease', { deadlineMs }, holderAnswerSchema, CALL_TIMEOUT_MS);
  }

  /** Adds grants. */
  async addGrants(deadlineMs: number, grants: readonly Grant[]): Promise<Result<unknown, BackendCallError>> {
    return await this.call('grants', { deadlineMs, grants }, null, CALL_TIMEOUT_MS);
  }

  /** Ends grants immediately. */
  async revoke(shards: readonly number[]): Promise<Result<unknown, BackendCallError>> {
    return await this.call('revocations', { shards }, null, CALL_TIMEOUT_MS);
  }

  /** Stops admission to a shard, waits for its requests in flight and returns the claimed keys. */
  async release(shard: number, epoch: number): Promise<Result<{ window: Claim[] }, BackendCallError>> {
    return await this.call('release', { shard, epoch }, releaseAnswerSchema, RELEASE_TIMEOUT_MS);
  }

  /** Starts or stops draining the back end. */
  async setDraining(draining: boolean): Promise<Result<unknown, BackendCallError>> {
    return await this.call('drain', { draining }, null, CALL_TIMEOUT_MS);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async call<T>(
    name: string,
    body: object,
    schema: z.ZodType<T> | null,
    timeoutMs: number,
  ): Promise<Result<T, BackendCallError>> {
    try {
      const response = await this.pool.request({
        method: METHOD,
        path: `${CONTRACT_PREFIX}/${name}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ agent: this.holder.current, ...body }),
        signal: AbortSignal.timeout(timeoutMs),
      });
      if (!isDelimited(METHOD, response.statusCode, response.headers)) {
        response.body.destroy();
        return Err({ kind: 'no-answer', detail: UNDELIMITED_ANSWER });
      }
      if (response.statusCode !== 200) {
        // The head says all; a body that follows is discarded, whatever becomes of it.
        response.body.dump().catch(() => undefined);
        return Err({ kind: 'refused', status: response.statusCode });
      }
      const text = await response.body.text();
      if (schema === null) return Ok(undefined as T);
      const parsed = schema.safeParse(JSON.parse(text) as unknown);
      return parsed.success ? Ok(parsed.data) : Err({ kind: 'no-answer', detail: 'unreadable answer' });
    } catch (error) {
      return Err(classifyError(error));
    }
  }
}

function classifyError(error: unknown): BackendCallError {
  const code = (error as NodeJS.ErrnoException).code;
  if (code === 'ECONNREFUSED') return { kind: 'gone' };
  return { kind: 'no-answer', detail: error instanceof Error ? error.message : String(error) };
}
