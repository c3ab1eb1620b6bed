/**
 * Reads the bodies of operators' calls, within the memory that the process has for clients. Whoever lacks the token has nothing stored:
 * such a body is read and discarded.
 */
import type { FastifyInstance, FastifyRequest } from 'fastify';
import type { ClientMemory } from '../runtime/client-memory.js';
import { costlyInput } from '../runtime/costly-input.js';
import { IncomingBody, type BodyFault } from '../runtime/incoming-body.js';

/** Maximum size of a request body, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Statuses of the answers to calls whose bodies are not taken; none of them has an effect. */
const FAULT_STATUS: Readonly<Record<BodyFault, number>> = { 'too-large': 413, 'no-memory': 503 };

/** Error that Fastify answers with its status. */
function rejection(fault: BodyFault): Error {
  return Object.assign(new Error(`the body is not taken: ${fault}`), { statusCode: FAULT_STATUS[fault] });
}

/**
 * Registers the only parser of bodies: JSON. `isAllowed` states whether a call carries the token. The bytes of a body are held until its
 * call has been answered.
 */
export function registerBodyParser(
  fastify: FastifyInstance,
  memory: ClientMemory,
  isAllowed: (request: FastifyRequest) => boolean,
): void {
  const parse = fastify.getDefaultJsonParser('error', 'error');
  const bodies = new WeakMap<FastifyRequest, IncomingBody>();
  fastify.addHook('onResponse', (request, _reply, done) => {
    bodies.get(request)?.release();
    done();
  });
  fastify.server.on('connection', (socket) => {
    costlyInput.follow(socket);
  });
  fastify.removeAllContentTypeParsers();
  fastify.addContentTypeParser('application/json', (request, payload, done) => {
    const meter = costlyInput.meter(request.raw.socket);
    payload.on('data', (chunk: Buffer) => {
      meter.add(chunk.length);
    });
    if (!isAllowed(request)) {
      done(null);
      return;
    }
    const reject = (fault: BodyFault): void => {
      payload.off('data', store);
      done(rejection(fault));
    };
    const { 'content-length': statedText } = request.headers;
    const statedBytes = statedText === undefined ? null : Number(statedText);
    const stored = new IncomingBody(memory, MAX_BODY_BYTES, statedBytes, () => {
      reject('no-memory');
    });
    bodies.set(request, stored);
    const store = (chunk: Buffer): void => {
      const fault = stored.add(chunk);
      if (fault !== null) reject(fault);
    };
    payload.on('data', store);
    payload.once('end', () => {
      const body = stored.end();
      if (body !== null) void parse(request, body.toString('utf8'), done);
    });
    payload.once('close', () => {
      if (!payload.readableEnded) stored.release();
    });
  });
}
