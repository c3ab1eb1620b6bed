/** Free loopback ports for tests. */
import { createServer } from 'node:net';
import { threadId } from 'node:worker_threads';

/**
 * Range of ports for tests. It lies below the system's ephemeral ports: the system may assign one of those to a connection
 * between the check and the test's listen call, which then fails with "address already in use".
 */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/**
 * Distance between the first ports of test files, which run in threads of one process; more than any of them uses. Two
 * files with the same ports could both find one free before either listens.
 */
const PORTS_PER_FILE = 97;

let allocated = 0;

/** Returns a port of 127.0.0.1 at which no process listens and which this file has not been given before. */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + (((process.pid + threadId) * PORTS_PER_FILE + allocated) % PORT_COUNT);
    allocated += 1;
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
