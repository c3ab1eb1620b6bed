/** HTTP routes of the grant contract of a test back end; see docs/BACKEND-CONTRACT.md. */
import type { FastifyInstance, FastifyReply } from 'fastify';
import type { z } from 'zod';
import {
  addGrantsSchema,
  CONTRACT_PREFIX,
  drainSchema,
  extendLeaseSchema,
  releaseSchema,
  revokeSchema,
  takeHolderSchema,
  type HolderAnswer,
} from '../../src/backend-contract/grant-messages.js';
import type { BackendServer } from './backend-server.js';

const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_HOLDER = 409;

/** Registers the routes of the grant contract. */
export function registerContract(app: FastifyInstance, server: BackendServer): void {
  const route = <T extends { readonly agent: string }>(
    name: string,
    schema: z.ZodType<T>,
    handle: (body: T) => unknown,
    allowAnyAgent = false,
  ): void => {
    app.put(`${CONTRACT_PREFIX}/${name}`, async (request, reply: FastifyReply) => {
      const parsed = schema.safeParse(request.body);
      if (!parsed.success) return await reply.status(STATUS_BAD_REQUEST).send({ error: parsed.error.issues });
      if (!allowAnyAgent && !server.grants.isHolder(parsed.data.agent)) {
        return await reply.status(STATUS_NOT_HOLDER).send({ error: 'another agent holds this back end' });
      }
      const answer = await handle(parsed.data);
      if (answer === null) return await reply.status(STATUS_NOT_HOLDER).send({ error: 'not granted' });
      return await reply.send(answer ?? {});
    });
  };
  const takeHolder = async ({ agent }: { agent: string }): Promise<HolderAnswer> => {
    await server.grants.takeHolder(agent);
    server.gate.draining = false;
    return buildHolderAnswer(server);
  };
  route('holder', takeHolderSchema, takeHolder, true);
  route('lease', extendLeaseSchema, ({ deadlineMs }) => {
    server.grants.extend(deadlineMs);
    return buildHolderAnswer(server);
  });
  route('grants', addGrantsSchema, ({ grants, deadlineMs }) => {
    server.grants.extend(deadlineMs);
    server.grants.add(grants);
  });
  route('revocations', revokeSchema, ({ shards }) => {
    server.grants.revoke(shards);
  });
  route('release', releaseSchema, async ({ shard, epoch }) => {
    const window = await server.grants.release(shard, epoch);
    return window === null ? null : { window: window.export() };
  });
  route('drain', drainSchema, ({ draining }) => {
    server.gate.draining = draining;
  });
}

function buildHolderAnswer(server: BackendServer): HolderAnswer {
  const load = [...server.load];
  server.load.clear();
  const { instance, bornMs, gate, statements } = server;
  return { instance, bornMs, load, inFlight: gate.inFlight, ...statements };
}
