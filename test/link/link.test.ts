/** Links between daemons, over loopback. */
import test from 'ava';
import { freePort } from '../loopback.js';
import { LinkClient, type RequestHandlers } from '../../src/link/link-client.js';
import { encodeFrameStart, FRAME_KIND, LinkFrameDecoder } from '../../src/link/link-frame.js';
import type { RequestHead, StatusHead } from '../../src/link/link-messages.js';
import { LinkServer, type AcceptedRequest, type TakeRequest } from '../../src/link/link-server.js';

const HEAD: RequestHead = {
  requestId: 'r',
  method: 'GET',
  path: '/',
  headers: ['a', 'b'],
  instance: 'i',
  key: 7,
  route: 'route',
  priority: 1,
  repeatable: true,
  remainingMs: 1_000,
  patienceMs: 100,
  targetLeftMs: 500,
  spentMs: 0,
};

const STATUS: StatusHead = {
  instance: 'i',
  running: 2,
  waiting: 1,
  slots: 3,
  serviceMs: 40,
  accepting: true,
  sendWaitMs: 0,
  coldStart: null,
  pace: 1,
  meanPace: 1,
};

async function linkTo(
  take: TakeRequest,
  onStatus: (status: StatusHead) => void = () => undefined,
  onDisconnect: (reason: string) => void = () => undefined,
): Promise<{ client: LinkClient; close: () => void }> {
  const port = await freePort();
  const server = new LinkServer(
    () => 0,
    'life',
    take,
    () => STATUS,
  );
  (await server.listen({ host: '127.0.0.1', port })).unwrap();
  const handlers = { onStatus, onDisconnect };
  const client = new LinkClient(
    { address: { host: '127.0.0.1', port }, localAddress: null, pacer: null },
    () => 0,
    handlers,
  );
  return {
    client,
    close: () => {
      client.stop();
      server.close();
    },
  };
}

function recorder(done: (line: string) => void): RequestHandlers {
  return {
    onRefusal: ({ reason }) => {
      done(`refused ${reason}`);
    },
    onFailure: ({ reason }) => {
      done(`failed ${reason}`);
    },
    onAnswer: (head, body) => {
      done(`answer ${head.statusCode} ${body.toString()} ${String(head.moreFollows)}`);
    },
    onBody: (chunk) => {
      done(`body ${chunk.toString()}`);
    },
    onEnd: () => {
      done('end');
    },
    onLost: (sent) => {
      done(`lost ${String(sent)}`);
    },
  };
}

/** A request that nothing becomes of. */
const IGNORED: AcceptedRequest = { cancel: () => undefined, withdraw: () => undefined };

test('a probe is answered with the status, on a new connection and on an open one', async (t) => {
  const statuses: StatusHead[] = [];
  let answered = (): void => undefined;
  const { client, close } = await linkTo(
    () => IGNORED,
    (status) => {
      statuses.push(status);
      answered();
    },
  );
  for (const count of [1, 2]) {
    await new Promise<void>((resolve) => {
      answered = resolve;
      client.probe();
    });
    t.is(statuses.length, count);
  }
  t.deepEqual(statuses, [STATUS, STATUS]);
  close();
});

test('a link that its owner closes is not told as lost', async (t) => {
  const lost: string[] = [];
  let connected = (): void => undefined;
  const { client, close } = await linkTo(
    () => IGNORED,
    () => {
      connected();
    },
    (reason) => lost.push(reason),
  );
  await new Promise<void>((resolve) => {
    connected = resolve;
    client.probe();
  });
  client.stop();
  t.deepEqual(lost, []);
  close();
});

test('a request reaches the other daemon as it is, and its answer comes back in pieces', async (t) => {
  const { client, close } = await linkTo((head, body, reply) => {
    t.deepEqual(head, HEAD);
    t.is(body.toString(), 'hello');
    const answer = {
      statusCode: 200,
      headers: [],
      framed: true,
      contentLength: null,
      timing: { waitedMs: 0, backendMs: 0 },
      status: null,
    };
    reply.answer({ ...answer, moreFollows: true }, Buffer.from('one'));
    reply.body(Buffer.from('two'));
    reply.end();
    return IGNORED;
  });
  const lines: string[] = [];
  await new Promise<void>((resolve) => {
    client.request(
      HEAD,
      Buffer.from('hello'),
      recorder((line) => {
        lines.push(line);
        if (line === 'end') resolve();
      }),
    );
  });
  t.deepEqual(lines, ['answer 200 one true', 'body two', 'end']);
  t.is(client.outstanding, 0);
  close();
});

test('a request that is taken back is cancelled at the other daemon', async (t) => {
  await new Promise<void>((resolve) => {
    void linkTo(() => {
      taken();
      return {
        ...IGNORED,
        cancel: () => {
          close();
          resolve();
        },
      };
    }).then((link) => {
      ({ close } = link);
      const request = link.client.request(
        HEAD,
        Buffer.alloc(0),
        recorder(() => undefined),
      );
      taken = () => {
        request.cancel();
      };
    });
    let close = (): void => undefined;
    let taken = (): void => undefined;
  });
  t.pass();
});

test('what was under way is lost with the connection, and what never left is told apart', async (t) => {
  const { client, close } = await linkTo(() => {
    close();
    return IGNORED;
  });
  const lost = await new Promise<string>((resolve) => {
    client.request(HEAD, Buffer.alloc(0), recorder(resolve));
  });
  t.is(lost, 'lost true');
  const address = { host: '127.0.0.1', port: await freePort() };
  const nobody = new LinkClient({ address, localAddress: null, pacer: null }, () => 0, {
    onStatus: () => undefined,
    onDisconnect: () => undefined,
  });
  const unsent = await new Promise<string>((resolve) => {
    nobody.request(HEAD, Buffer.alloc(0), recorder(resolve));
  });
  t.is(unsent, 'lost false');
});

test('frames are found in any cut of the byte stream, and garbage is refused', (t) => {
  const body = Buffer.from('body');
  const start = encodeFrameStart(FRAME_KIND.body, 3, { a: 1 }, body.length);
  const bytes = Buffer.concat([start, body, start, body]);
  for (let at = 1; at < bytes.length; at += 1) {
    const decoder = new LinkFrameDecoder();
    const frames = [bytes.subarray(0, at), bytes.subarray(at)].flatMap((part) => decoder.push(part).unwrap());
    t.is(frames.length, 2);
    t.like(frames[1], { kind: FRAME_KIND.body, stream: 3, head: { a: 1 } });
    t.is(frames[1]?.body.toString(), 'body');
  }
  t.true(new LinkFrameDecoder().push(Buffer.from('GET / HTTP/1.1\r\n\r\n')).err);
});

test('what a daemon that stops has not answered was not run, and can go elsewhere', async (t) => {
  const port = await freePort();
  const taken: string[] = [];
  const server = new LinkServer(
    () => 0,
    'life',
    ({ requestId }, _body, reply) => {
      taken.push(requestId);
      if (requestId === 'first') {
        reply.fail({ reason: 'broken', detail: 'the daemon stops', status: null });
        server.close();
      }
      return IGNORED;
    },
    () => STATUS,
  );
  (await server.listen({ host: '127.0.0.1', port })).unwrap();
  const route = { address: { host: '127.0.0.1', port }, localAddress: null, pacer: null };
  const client = new LinkClient(route, () => 0, { onStatus: () => undefined, onDisconnect: () => undefined });
  const outcomeOf = async (requestId: string): Promise<string> =>
    await new Promise((resolve) => {
      client.request({ ...HEAD, requestId }, Buffer.alloc(0), {
        ...recorder(resolve),
        onFailure: ({ reason }) => {
          resolve(reason);
        },
      });
    });
  const outcomes = await Promise.all([outcomeOf('first'), outcomeOf('second')]);
  t.deepEqual(outcomes, ['broken', 'lost false']);
  client.stop();
});

test('a request that is taken back before it began is refused', async (t) => {
  const { client, close } = await linkTo((_head, _body, reply) => ({
    ...IGNORED,
    withdraw: () => {
      reply.refuse({ reason: 'cancelled', arrived: false, retryAfterMs: 0, status: null });
    },
  }));
  const reason = await new Promise<string>((resolve) => {
    const request = client.request(HEAD, Buffer.alloc(0), {
      ...recorder(resolve),
      onRefusal: (refusal) => {
        resolve(refusal.reason);
      },
    });
    setTimeout(() => {
      request.withdraw();
    }, 50);
  });
  t.is(reason, 'cancelled');
  close();
});
