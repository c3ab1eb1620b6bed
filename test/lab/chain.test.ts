/** A chain of services under more load than it can serve: incident SHORT without the users' platform. */
import test from 'ava';
import { playChain } from '../../lab/chain/chain-world.js';
import type { ChainReport } from '../../lab/chain/chain-report.js';
import { NARROW_CHAIN, type ChainSpec } from '../../lab/chain/chain-spec.js';

const SEEDS = [1, 2, 3] as const;

/** A burst of two seconds, and six seconds after it in which everything that can be served could be. */
const AFTER_A_BURST: ChainSpec = { ...NARROW_CHAIN, lengthMs: 12_000 };
const BURST_FORGOTTEN_MS = 8_000;

/** Times the usual traffic at which more is asked for than the places can serve. */
const OVERLOAD = 1.15;

const OVERLOADED: ChainSpec = {
  ...NARROW_CHAIN,
  lengthMs: 8_000,
  burst: null,
  services: NARROW_CHAIN.services.map((service) => ({
    ...service,
    perSecond: service.perSecond * OVERLOAD,
  })),
};

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function play(spec: ChainSpec): readonly ChainReport[] {
  return SEEDS.map((seed) => playChain(spec, seed));
}

test('a chain answers in time again after a burst', (t) => {
  const reports = play(AFTER_A_BURST);
  const shares = reports.map((report) => report.shareInTime(BURST_FORGOTTEN_MS, AFTER_A_BURST.lengthMs));
  t.log('share answered in time:', shares.map((share) => share.toFixed(3)).join(', '));
  t.true(mean(shares) >= 0.75);
});

test('looking for a place costs no more under overload than a few messages for each request', (t) => {
  const reports = play(OVERLOADED);
  const messages = mean(reports.map((report) => report.messages / report.requests));
  const refusals = mean(reports.map((report) => report.refusals / report.requests));
  t.log(`${messages.toFixed(1)} messages and ${refusals.toFixed(2)} refusals between daemons a request`);
  t.true(messages <= 5);
  t.true(refusals <= 0.5);
});

test('hardly any run ends badly since a call of it was refused', (t) => {
  const reports = play(OVERLOADED);
  const shares = reports.map(({ goodRuns, badRuns }) => badRuns / (goodRuns + badRuns));
  t.log('share of runs that ended badly:', shares.map((share) => share.toFixed(4)).join(', '));
  t.true(mean(shares) <= 0.003);
});

test('the same seed gives the same play', (t) => {
  const spec = { ...NARROW_CHAIN, lengthMs: 2_000, burst: null };
  t.deepEqual(playChain(spec, 7).lines(), playChain(spec, 7).lines());
});
