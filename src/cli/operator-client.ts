/** Calls the operator interface of whichever control replica leads. */
import { request } from 'undici';
import { readToken } from '../config/daemon-settings.js';
import { Err, Ok, type Result } from '../result.js';
import { textOption, type Options } from './command-line.js';
import { EXIT_CODE, type ExitCode } from './exit-code.js';

const REQUEST_TIMEOUT_MS = 8_000;
const RETRY_PAUSE_MS = 200;
/** Rounds over all replicas before the leader counts as unreachable. */
const ROUNDS = 15;

const STATUS_OK = 200;
const STATUS_NOT_LEADER = 421;

/** Why a call failed, and the exit code that tells so. */
export interface OperatorError {
  readonly exitCode: ExitCode;
  readonly message: string;
  /** The problem that the replica answered, if any. */
  readonly problem: unknown;
}

/** A client for one deployment. */
export class OperatorClient {
  constructor(
    private readonly addresses: readonly string[],
    private readonly token: string,
  ) {}

  /** Makes a client from `--control` and `--token-file`. */
  static fromOptions(options: Options): Result<OperatorClient, string> {
    const control = textOption(options, 'control');
    const tokenFile = textOption(options, 'token-file');
    if (control === null || tokenFile === null) return Err('--control and --token-file are needed');
    const token = readToken(tokenFile);
    if (token.err) return Err(`--token-file: ${token.val}`);
    return Ok(new OperatorClient(control.split(','), token.val));
  }

  /** Calls the leader; tries all replicas for a few seconds while none leads. */
  async call(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<unknown, OperatorError>> {
    let last = 'no replica was asked';
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const address of this.addresses) {
        const answer = await this.callOne(address, method, path, body);
        if (answer.ok && answer.val.status === STATUS_OK) return Ok(answer.val.body);
        if (answer.ok && answer.val.status !== STATUS_NOT_LEADER) return Err(refusedBy(answer.val.body));
        last = answer.err ? `${address}: ${answer.val}` : `${address} does not lead`;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE_MS));
    }
    return Err({ exitCode: EXIT_CODE.unreachable, message: last, problem: null });
  }

  /** Calls every replica; the answers of those that could be reached, by address. */
  async callEach(path: string): Promise<readonly (readonly [string, unknown])[]> {
    const answers = await Promise.all(
      this.addresses.map(
        async (address) => [address, await this.callOne(address, 'GET', path, undefined)] as const,
      ),
    );
    return answers.flatMap(([address, answer]) => {
      return answer.ok && answer.val.status === STATUS_OK ? [[address, answer.val.body] as const] : [];
    });
  }

  private async callOne(
    address: string,
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body: unknown,
  ): Promise<Result<{ status: number; body: unknown }, string>> {
    try {
      const response = await request(`http://${address}/v1/${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.token}`,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      return Ok({ status: response.statusCode, body: await response.body.json() });
    } catch (error) {
      return Err(error instanceof Error ? error.message : String(error));
    }
  }
}

function refusedBy(problem: unknown): OperatorError {
  const detail = (problem as { detail?: unknown } | null)?.detail;
  const message = typeof detail === 'string' ? detail : JSON.stringify(problem);
  return { exitCode: EXIT_CODE.refused, message, problem };
}
