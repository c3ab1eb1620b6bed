/** Bodies of operators' calls: which are taken, and what is answered to the others. */
import test from 'ava';
import { fastify, type FastifyInstance } from 'fastify';
import { registerBodyParser } from '../../src/control/operator-body.js';
import { ClientMemory } from '../../src/runtime/client-memory.js';

const LIMIT = 100_000;
const TOO_LARGE = 16 * 1024 * 1024 + 1;
const JSON_HEADERS = { 'content-type': 'application/json', authorization: 'yes' };

interface Server {
  readonly server: FastifyInstance;
  readonly memory: ClientMemory;
}

function startServer(): Server {
  const server = fastify();
  const memory = new ClientMemory(LIMIT);
  registerBodyParser(server, memory, ({ headers }) => headers.authorization === 'yes');
  server.put('/', (request) => ({ received: request.body ?? null }));
  return { server, memory };
}

async function put({ server }: Server, payload: string, headers: object = JSON_HEADERS): Promise<string> {
  const { statusCode, body } = await server.inject({
    method: 'PUT',
    url: '/',
    payload,
    headers: { ...headers },
  });
  return statusCode === 200 ? body : String(statusCode);
}

test('a body is parsed as JSON, and its bytes are given up afterwards', async (t) => {
  const world = startServer();
  t.is(await put(world, '{"a":1}'), '{"received":{"a":1}}');
  t.is(
    await put(world, JSON.stringify('x'.repeat(2 * LIMIT))),
    JSON.stringify({ received: 'x'.repeat(2 * LIMIT) }),
  );
  t.is(world.memory.usedBytes, 0);
});

test('a body that cannot be parsed, is too large or has no room has no effect', async (t) => {
  const world = startServer();
  t.is(await put(world, '{"a":'), '400');
  t.is(await put(world, ''), '400');
  t.is(await put(world, '{"__proto__":1}'), '400');
  t.is(await put(world, `"${'x'.repeat(TOO_LARGE)}"`), '413');
  t.is(
    await put(world, 'a=1', { ...JSON_HEADERS, 'content-type': 'application/x-www-form-urlencoded' }),
    '415',
  );
  const other = world.memory.open(() => undefined);
  t.true(other.resize(LIMIT));
  t.is(await put(world, '{"a":1}'), '503');
  other.release();
  t.is(await put(world, '{"a":1}'), '{"received":{"a":1}}');
  t.is(world.memory.usedBytes, 0);
});

test('nothing is stored of a body without the token', async (t) => {
  const world = startServer();
  const other = world.memory.open(() => undefined);
  t.true(other.resize(LIMIT));
  t.is(await put(world, '{"a":1}', { 'content-type': 'application/json' }), '{"received":null}');
  t.is(world.memory.refused, 0);
});
