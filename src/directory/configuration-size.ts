/** Keeps the size of the configuration in bytes, so that a change which would make it too large is refused before it is proposed. */
import { valueBytes } from '../model/value-size.js';
import type { DirectoryChange } from './directory-commands.js';
import { itemKey, type ConfigurationItem } from './directory-state.js';

/** Sizes of the items of one configuration. */
export class ConfigurationSize {
  private readonly sizes = new Map<string, number>();
  private total = 0;

  /** Size of all items in bytes; dropped ones do not count, since the operator has no means to make room of them. */
  get bytes(): number {
    return this.total;
  }

  /** Counts the items of another configuration instead. */
  reset(items: Iterable<ConfigurationItem>): void {
    this.sizes.clear();
    this.total = 0;
    this.put(items);
  }

  /** Counts the items among published changes. */
  record(changes: readonly DirectoryChange[]): void {
    for (const change of changes) if (change.kind === 'items') this.put(change.items);
  }

  /** Size in bytes after items have been put in the place of those of the same names. */
  bytesAfter(items: readonly ConfigurationItem[]): number {
    return items.reduce((bytes, item) => bytes + presentBytes(item) - this.sizeOf(item), this.total);
  }

  private put(items: Iterable<ConfigurationItem>): void {
    for (const item of items) {
      const bytes = presentBytes(item);
      this.total += bytes - this.sizeOf(item);
      if (bytes === 0) this.sizes.delete(itemKey(item.kind, item.name));
      else this.sizes.set(itemKey(item.kind, item.name), bytes);
    }
  }

  private sizeOf({ kind, name }: ConfigurationItem): number {
    return this.sizes.get(itemKey(kind, name)) ?? 0;
  }
}

function presentBytes(item: ConfigurationItem): number {
  return item.definition === null ? 0 : valueBytes(item);
}
