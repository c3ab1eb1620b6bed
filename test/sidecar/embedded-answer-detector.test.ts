/** Detection of another answer inside a body, whatever the parts in which the body arrives. */
import test from 'ava';
import { Random } from '../../lab/random.js';
import { EmbeddedAnswerDetector } from '../../src/sidecar/embedded-answer-detector.js';

const IDS = new Set(['id-1', 'id-2']);
const SEEDS = 200;
const OWN = 'HTTP/1.1 200 OK\r\nDate: now\r\nRequest-Id: id-2\r\nContent-Length: 4\r\n\r\ngood';

/** Looks through a body in random parts; `found`, `open` if it ends inside a head, or `none`. */
function look(body: string, random: Random): string {
  const detector = new EmbeddedAnswerDetector(IDS);
  const bytes = Buffer.from(body, 'latin1');
  for (let at = 0; at < bytes.length;) {
    const end = at + 1 + random.below(random.pick([3, 20, bytes.length]));
    if (detector.push(bytes.subarray(at, end))) return 'found';
    at = end;
  }
  return detector.endsInsideHead() ? 'open' : 'none';
}

const CASES: readonly (readonly [name: string, body: (random: Random) => string, expected: string])[] = [
  ['a head with the id of a carried request', (random) => `${'b'.repeat(random.below(90))}${OWN}`, 'found'],
  ['a status line behind the beginning of another', () => `HTTP/1.HTTP/1.1 ${OWN}`, 'found'],
  ['a head with another id', () => OWN.replace('id-2', 'id-9'), 'none'],
  ['ids without a status line', () => 'Request-Id: id-1\r\n\r\nid-2', 'none'],
  ['the words of a status line', () => 'GET / HTTP/1.1 is how a request starts, and HTTP/1.x too', 'none'],
  ['a body that ends with the first letter of a version', () => 'abcH', 'none'],
  ['a body that ends inside a status line', (random) => `b${OWN.slice(0, 5 + random.below(10))}`, 'open'],
  ['a body that ends inside a head, before its id', (random) => OWN.slice(0, 20 + random.below(20)), 'open'],
  ['a document that ends with a status line and text', () => 'HTTP/1.1 200 OK\r\nthis is no header', 'none'],
  ['a huge text behind a status line', () => `HTTP/1.1 200 OK\r\n${'x: y\r\n'.repeat(4_000)}`, 'none'],
];

for (const [name, body, expected] of CASES) {
  test(`${name}: ${expected}`, (t) => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = new Random(seed);
      t.is(look(body(random), random), expected, `seed ${seed}`);
    }
  });
}

test('a status line that begins in the body and goes on in the bytes behind it', (t) => {
  const detector = new EmbeddedAnswerDetector(IDS);
  t.false(detector.push(Buffer.from('bodyHT')));
  t.true(detector.endsInsideHead(Buffer.from('TP/1.1 200 OK\r\n')));
  t.false(detector.endsInsideHead(Buffer.from('more of something')));
});
