/** A back end that restarts under the same instance is another incarnation. */
import test from 'ava';
import { holderAnswerSchema, holderIncarnation } from '../../src/backend-contract/grant-messages.js';

const ANSWER = { instance: 'one', load: [], inFlight: 0 };

test('another start under the same instance is another incarnation', (t) => {
  const first = holderAnswerSchema.parse({ ...ANSWER, bornMs: 1 });
  const second = holderAnswerSchema.parse({ ...ANSWER, bornMs: 2 });
  t.not(holderIncarnation(first), holderIncarnation(second));
  t.is(
    holderIncarnation(first),
    holderIncarnation(holderAnswerSchema.parse({ ...ANSWER, bornMs: 1, inFlight: 3 })),
  );
});

test('a back end without a start time is identified by its instance alone', (t) => {
  const life = holderIncarnation(holderAnswerSchema.parse(ANSWER));
  t.is(life, holderIncarnation(holderAnswerSchema.parse(ANSWER)));
  t.not(life, holderIncarnation(holderAnswerSchema.parse({ ...ANSWER, instance: 'two' })));
});

for (const bornMs of ['1', 1.5, null]) {
  test(`a start time that is not an integer is rejected: ${String(bornMs)}`, (t) => {
    t.false(holderAnswerSchema.safeParse({ ...ANSWER, bornMs }).success);
  });
}
