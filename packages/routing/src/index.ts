/** Request keys, duplicate detection, executor slots, queues, retry budgets and outlier ejection. */
export {};
