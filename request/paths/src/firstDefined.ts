/** Resolves to the first value that is not undefined; undefined once all promises have resolved to undefined. */
export function firstDefined<Value>(promises: Promise<Value | undefined>[]): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    let left = promises.length
    for (const promise of promises)
      promise.then((value) => {
        left -= 1
        if (value !== undefined || left === 0) resolve(value)
      }, reject)
  })
}
