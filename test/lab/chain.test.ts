/**
 * A chain of services under more load than it can serve. Guards against too few answers in time after a burst, many
 * messages and refusals between daemons per request, and runs that fail because a call of theirs was refused (incident
 * SHORT, without the platform of its users).
 */
import test from 'ava';
import { playChain } from '../../lab/chain/chain-world.js';
import type { ChainReport } from '../../lab/chain/chain-report.js';
import { NARROW_CHAIN, type ChainSpec } from '../../lab/chain/chain-spec.js';

const SEEDS = [1, 2, 3] as const;

/** A burst of two seconds, followed by six seconds in which all requests within capacity could be served. */
const AFTER_A_BURST: ChainSpec = { ...NARROW_CHAIN, lengthMs: 12_000 };
const RECOVERED_MS = 8_000;

/** Factor of the normal traffic at which the load exceeds the capacity of the slots. */
const OVERLOAD_FACTOR = 1.15;

const OVERLOADED: ChainSpec = {
  ...NARROW_CHAIN,
  lengthMs: 8_000,
  burst: null,
  services: NARROW_CHAIN.services.map((service) => ({
    ...service,
    perSecond: service.perSecond * OVERLOAD_FACTOR,
  })),
};

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function playSeeds(spec: ChainSpec): readonly ChainReport[] {
  return SEEDS.map((seed) => playChain(spec, seed));
}

test('a chain answers in time again after a burst', (t) => {
  const reports = playSeeds(AFTER_A_BURST);
  const shares = reports.map((report) => report.shareInTime(RECOVERED_MS, AFTER_A_BURST.lengthMs));
  t.log('share answered in time:', shares.map((share) => share.toFixed(3)).join(', '));
  t.true(mean(shares) >= 0.75);
});

test('the search for a slot costs no more under overload than a few messages for each request', (t) => {
  const reports = playSeeds(OVERLOADED);
  const messages = mean(reports.map((report) => report.messages / report.requests));
  const refusals = mean(reports.map((report) => report.refusals / report.requests));
  t.log(`${messages.toFixed(1)} messages and ${refusals.toFixed(2)} refusals between daemons a request`);
  t.true(messages <= 5);
  t.true(refusals <= 0.5);
});

test('at most 0.3 % of the runs fail under overload because a call was refused', (t) => {
  const reports = playSeeds(OVERLOADED);
  const shares = reports.map(({ goodRuns, badRuns }) => badRuns / (goodRuns + badRuns));
  t.log('share of failed runs:', shares.map((share) => share.toFixed(4)).join(', '));
  t.true(mean(shares) <= 0.003);
});

test('the same seed gives the same result', (t) => {
  const spec = { ...NARROW_CHAIN, lengthMs: 2_000, burst: null };
  t.deepEqual(playChain(spec, 7).lines(), playChain(spec, 7).lines());
});
