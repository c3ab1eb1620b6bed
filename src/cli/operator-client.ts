/** Client of the operator interface of the control replicas. */
import { request } from 'undici';
import { readToken } from '../config/daemon-settings.js';
import { Err, Ok, type Result } from '../result.js';
import { isDelimited, UNDELIMITED_ANSWER } from '../transport/answer-framing.js';
import { textOption, type Options } from './command-line.js';
import { EXIT_CODE, type ExitCode } from './exit-code.js';

const REQUEST_TIMEOUT_MS = 8_000;
const RETRY_DELAY_MS = 200;
/** Number of rounds over all replicas after which the leader counts as unreachable. */
const MAX_ROUNDS = 15;

const STATUS_OK = 200;
const STATUS_NOT_LEADER = 421;

/** Reason why a call failed, and the corresponding exit code. */
export interface OperatorError {
  readonly exitCode: ExitCode;
  readonly message: string;
  /** Problem document in the replica's answer, if any. */
  readonly problem: unknown;
}

/** Client for the control replicas of one deployment. */
export class OperatorClient {
  constructor(
    private readonly addresses: readonly string[],
    private readonly token: string,
  ) {}

  /** Creates a client from `--control` and `--token-file`. */
  static fromOptions(options: Options): Result<OperatorClient, string> {
    const control = textOption(options, 'control');
    const tokenFile = textOption(options, 'token-file');
    if (control === null || tokenFile === null) return Err('--control and --token-file are required');
    const token = readToken(tokenFile);
    if (token.err) return Err(`--token-file: ${token.val}`);
    return Ok(new OperatorClient(control.split(','), token.val));
  }

  /** Calls the leader; while there is none, retries all replicas for a few seconds. */
  async call(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Result<unknown, OperatorError>> {
    let lastProblem = 'no replica was contacted';
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      for (const address of this.addresses) {
        const answer = await this.callOne(address, method, path, body);
        if (answer.ok && answer.val.status === STATUS_OK) return Ok(answer.val.body);
        if (answer.ok && answer.val.status !== STATUS_NOT_LEADER) return Err(refusalError(answer.val.body));
        lastProblem = answer.err ? `${address}: ${answer.val}` : `${address} is not the leader`;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
    return Err({ exitCode: EXIT_CODE.unreachable, message: lastProblem, problem: null });
  }

  /** Calls every replica; returns the successful answers with their addresses. */
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
      if (!isDelimited(method, response.statusCode, response.headers)) {
        response.body.destroy();
        return Err(UNDELIMITED_ANSWER);
      }
      return Ok({ status: response.statusCode, body: await response.body.json() });
    } catch (error) {
      return Err(error instanceof Error ? error.message : String(error));
    }
  }
}

function refusalError(problem: unknown): OperatorError {
  const detail = (problem as { detail?: unknown } | null)?.detail;
  const message = typeof detail === 'string' ? detail : JSON.stringify(problem);
  return { exitCode: EXIT_CODE.refused, message, problem };
}
