/** Calls of an operator on directories, over connections that stay open. */
import { Agent, request as httpRequest } from 'node:http';
import * as z from 'zod/mini';
import type { SocketAddress } from '../../../src/model/socket-address.js';
import { PATHS } from '../../../platform/stand-in-wire.js';
import type { ReadConfiguration } from './change-judge.js';

/** Time in ms after which a call is given up, and its addition for each character of the body: 500 KB a second. */
const TIMEOUT_MS = 3_000;
const TIMEOUT_MS_PER_CHARACTER = 0.002;

const MAX_REDIRECTS = 2;
const MAX_CONNECTIONS = 16;

/** Answer to a call. */
export interface Reply {
  readonly status: number;
  readonly body: string;
  readonly location: string;
}

/** A call without its address. */
export interface OperatorCall {
  readonly method: 'GET' | 'PUT' | 'PATCH';
  readonly body: string;
  /** Version that the change is based on; null without one. */
  readonly base: number | null;
}

/** Sends calls, and follows redirections. */
export class ChangeCalls {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });

  /** Sends a call; returns null without a complete answer. */
  async send(first: SocketAddress, call: OperatorCall): Promise<Reply | null> {
    let address = first;
    for (let hop = 0; hop <= MAX_REDIRECTS; hop += 1) {
      const reply = await this.sendOnce(address, call);
      if (reply === null || reply.location === '') return reply;
      const url = new URL(reply.location);
      address = { host: url.hostname, port: Number(url.port) };
    }
    return null;
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  private async sendOnce({ host, port }: SocketAddress, call: OperatorCall): Promise<Reply | null> {
    const { method, body, base } = call;
    return await new Promise((resolve) => {
      const headers = {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
        ...(base === null ? {} : { 'if-match': `"${base}"` }),
      };
      const { agent } = this;
      const request = httpRequest(
        { host, port, path: PATHS.configuration, method, headers, agent },
        (answer) => {
          let text = '';
          answer.setEncoding('utf8');
          answer.on('data', (chunk: string) => (text += chunk));
          answer.on('end', () => {
            clearTimeout(timer);
            resolve({ status: answer.statusCode ?? 0, body: text, location: answer.headers.location ?? '' });
          });
          answer.on('error', () => undefined);
          answer.on('close', () => {
            resolve(null);
          });
        },
      );
      const timer = setTimeout(() => request.destroy(), TIMEOUT_MS + body.length * TIMEOUT_MS_PER_CHARACTER);
      request.on('error', () => undefined);
      request.on('close', () => {
        clearTimeout(timer);
        resolve(null);
      });
      request.end(body);
    });
  }
}

const configurationSchema = z.looseObject({
  version: z.number(),
  routes: z.record(z.string(), z.looseObject({ path_prefix: z.string() })),
});

/** Reads a configuration; null if nothing is in force yet. */
export function readConfiguration(text: string): ReadConfiguration | null {
  const parsed = configurationSchema.safeParse(JSON.parse(text));
  if (!parsed.success) return null;
  const { version, routes } = parsed.data;
  return {
    version,
    routes: new Map(Object.entries(routes).map(([name, route]) => [name, route.path_prefix])),
  };
}

const conflictSchema = z.looseObject({ version: z.number() });

/** Reads the present version that a refusal names; null if it names none. */
export function readPresentVersion(text: string): number | null {
  try {
    const parsed = conflictSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data.version : null;
  } catch {
    return null;
  }
}
