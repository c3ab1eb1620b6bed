import test from 'ava';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { SoakNetwork } from '../../../lab/soak/soak-network.js';
import { freePort } from '../../loopback.js';

const LISTENER_IP = '127.0.0.1';
const RELAY_IP = '127.0.0.2';
const DIALER_IP = '127.0.0.3';

interface World {
  readonly network: SoakNetwork;
  readonly server: Server;
  readonly port: number;
  /** Text that the listener has received. */
  readonly received: () => string;
}

async function makeWorld(): Promise<World> {
  const port = await freePort();
  let received = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      socket.write(chunk);
    });
  });
  await new Promise<void>((resolve) => server.listen(port, LISTENER_IP, resolve));
  const network = new SoakNetwork((ip) => (ip === DIALER_IP ? 'dialer' : null));
  await network.relay('listener', RELAY_IP, LISTENER_IP, port);
  return { network, server, port, received: () => received };
}

async function dial(port: number): Promise<Socket> {
  const socket = connect({ host: RELAY_IP, port, localAddress: DIALER_IP });
  await new Promise((resolve) => socket.once('connect', resolve));
  return socket;
}

async function nextText(socket: Socket): Promise<string> {
  return await new Promise((resolve) => {
    socket.once('data', (chunk: Buffer) => {
      resolve(chunk.toString());
    });
  });
}

function close({ network, server }: World, socket: Socket): void {
  socket.destroy();
  network.close();
  server.close();
}

test('bytes pass in both directions', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  socket.write('hello');
  t.is(await nextText(socket), 'hello');
  close(world, socket);
});

test('a held direction passes nothing, and everything once it is cleared', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  world.network.set('dialer', 'listener', { held: true });
  socket.write('held');
  await new Promise((resolve) => setTimeout(resolve, 60));
  t.is(world.received(), '');
  world.network.clear();
  t.is(await nextText(socket), 'held');
  close(world, socket);
});

test('one direction can be held while the other passes', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  world.network.set('listener', 'dialer', { held: true });
  const answer = nextText(socket);
  socket.write('one way');
  while (world.received() === '') await new Promise((resolve) => setTimeout(resolve, 5));
  t.is(world.received(), 'one way');
  world.network.clear();
  t.is(await answer, 'one way');
  close(world, socket);
});

test('a reset ends the connections of a machine', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  socket.write('first');
  await nextText(socket);
  const ended = new Promise<string>((resolve) => {
    socket.once('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code ?? '');
    });
  });
  world.network.reset('listener');
  t.is(await ended, 'ECONNRESET');
  close(world, socket);
});

test('a held direction takes a bounded number of bytes, and passes all of them on in order once it is cleared', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  socket.resume();
  world.network.set('dialer', 'listener', { held: true });
  const text = Array.from({ length: 3_000_000 }, (_, at) => `${at},`).join('');
  const isTaken = new Promise<boolean>((resolve) => {
    setTimeout(resolve, 300, false);
    socket.write(text, () => {
      resolve(true);
    });
  });
  t.false(await isTaken);
  t.is(world.received(), '');
  world.network.clear();
  while (world.received().length < text.length) await new Promise((resolve) => setTimeout(resolve, 20));
  t.true(world.received() === text);
  close(world, socket);
});

test('a limited bandwidth delays bytes by their number', async (t) => {
  const world = await makeWorld();
  const socket = await dial(world.port);
  world.network.set('dialer', 'listener', { bytesPerMs: 1 });
  const startMs = performance.now();
  socket.write('x'.repeat(400));
  await nextText(socket);
  t.true(performance.now() - startMs >= 395);
  close(world, socket);
});
