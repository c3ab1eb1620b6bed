/** Seeded random numbers for the lab. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Pseudorandom number generator; the same seed gives the same sequence. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a uniform integer from 0 to `limit` - 1. */
  below(limit: number): number {
    return uniformInt(this.generator, 0, limit - 1);
  }

  /** Returns a uniform number in [0, 1). */
  fraction(): number {
    return uniformFloat64(this.generator);
  }

  /** Returns an exponentially distributed number with the given mean, such as the time between independent arrivals. */
  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }

  /** Returns a random element of `items`. */
  pick<T>(items: readonly T[]): T {
    const item = items[this.below(items.length)];
    if (item === undefined) throw new Error('invariant broken: no items to pick from');
    return item;
  }
}

/** Draws from 0 to n-1 with probability proportional to 1 / (rank + 1) ** exponent (Zipf). */
export class ZipfSampler {
  private readonly cumulative: number[] = [];

  constructor(
    private readonly random: Random,
    count: number,
    exponent: number,
  ) {
    let sum = 0;
    for (let rank = 1; rank <= count; rank += 1) {
      sum += 1 / rank ** exponent;
      this.cumulative.push(sum);
    }
  }

  /** Returns a random rank. */
  next(): number {
    const target = this.random.fraction() * (this.cumulative.at(-1) ?? 0);
    let low = 0;
    let high = this.cumulative.length - 1;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.cumulative[middle] ?? 0) > target) high = middle;
      else low = middle + 1;
    }
    return low;
  }
}
