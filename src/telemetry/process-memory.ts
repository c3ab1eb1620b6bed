/** Memory of this process. */
import { getHeapStatistics } from 'node:v8';

/** Sizes in bytes. */
export interface ProcessMemory {
  /** Heap in use, with garbage that is not collected yet. */
  readonly heapBytes: number;
  /** Heap at which the process ends. */
  readonly heapLimitBytes: number;
  /** Buffers and other memory that objects of the heap hold outside it. */
  readonly externalBytes: number;
  readonly residentBytes: number;
}

/** Reads the memory of this process. */
export function readProcessMemory(): ProcessMemory {
  const { used_heap_size, heap_size_limit, external_memory } = getHeapStatistics();
  return {
    heapBytes: used_heap_size,
    heapLimitBytes: heap_size_limit,
    externalBytes: external_memory,
    residentBytes: process.memoryUsage.rss(),
  };
}
