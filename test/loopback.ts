/** Loopback for tests. */
import { createServer } from 'node:net';

/**
 * Ports from which tests take theirs. They lie below those that the system gives to connections: one of these was given away
 * between the look and the listening of a test ("address already in use", once in a run beside other work).
 */
const FIRST_PORT = 10_000;
const PORTS = 20_000;

/** Distance of the first ports of two processes that follow each other; no test takes so many. */
const PORTS_A_PROCESS = 97;

let taken = 0;

/** A port of 127.0.0.1 at which nobody listens, and which this process has not given before. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + ((process.pid * PORTS_A_PROCESS + taken) % PORTS);
    taken += 1;
    if (await isFree(port)) return port;
  }
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
