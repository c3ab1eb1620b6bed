/** Which requests are sent to a back end whose runs break. */
import test from 'ava';
import { CircuitBreaker } from '../../src/sidecar/circuit-breaker.js';

function openCircuitBreaker(): CircuitBreaker {
  const breaker = new CircuitBreaker();
  for (let run = 0; run < 4; run += 1) breaker.recordRun(true);
  return breaker;
}

test('after four consecutive broken runs one request is allowed every 300 ms', (t) => {
  const trials = openCircuitBreaker();
  t.deepEqual(
    [0, 1, 299, 300, 301].map((ms) => trials.allowRequest(ms)),
    [true, false, false, true, false],
  );
});

test('a run that did not break, or a new incarnation, closes the circuit', (t) => {
  const answered = openCircuitBreaker();
  answered.recordRun(false);
  const replaced = openCircuitBreaker();
  replaced.reset();
  for (const trials of [answered, replaced]) {
    t.true(trials.allowRequest(0));
    t.true(trials.allowRequest(1));
  }
});
